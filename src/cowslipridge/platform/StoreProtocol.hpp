#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/http1/Message.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Writes the calls of the platform's metadata store and parses its responses.
/// No I/O.
namespace cowslipridge::platform {

/// A position in the store's change history; each change gets a higher one.
using StoreRevision = std::int64_t;
/// Rises each time the store is restored from an older copy. Changes made since
/// the copy are lost then, and their revisions are given out again. One more
/// than the number that the store names; 0 if it names none.
using StoreEra = std::int64_t;
/// The store deletes keys written under a lease when the lease ends; 0 means no
/// lease.
using LeaseId = std::int64_t;

/// HTTP statuses of the store's responses.
namespace status {
inline constexpr int Ok = 200;
inline constexpr int NotFound = 404;
inline constexpr int HistoryCompacted = 410;
inline constexpr int ConditionFailed = 412;
inline constexpr int TooManyRequests = 429;
} // namespace status

/// A revision together with the era that it belongs to. Revisions of different
/// eras are not comparable.
struct StorePosition {
  StoreEra Era = 0;
  StoreRevision Revision = 0;
  friend auto operator<=>(const StorePosition &,
                          const StorePosition &) = default;
};

/// One item, or its deletion.
struct StoreItem {
  std::string Key;
  std::string Value;
  StoreRevision Revision = 0;
  bool Deleted = false;
  friend auto operator<=>(const StoreItem &, const StoreItem &) = default;
};

/// A page of a listing, or the changes since a revision.
struct StoreBatch {
  std::vector<StoreItem> Items;
  StorePosition Position; ///< of the store at the time of the response
  bool HasMore = false;   ///< the listing continues after the last key
};

/// A key that must have this revision when a transaction is executed.
struct StoreCondition {
  std::string Key;
  StoreRevision Revision = 0; ///< 0: the key must not exist
  friend auto operator<=>(const StoreCondition &,
                          const StoreCondition &) = default;
};

struct StoreWrite {
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
  friend auto operator<=>(const StoreWrite &, const StoreWrite &) = default;
};

/// Changes that the store makes together, or not at all if a condition fails.
struct StoreTransaction {
  std::vector<StoreCondition> Conditions;
  std::vector<StoreWrite> Writes;
  std::vector<std::string> Removals; ///< keys
  friend auto operator<=>(const StoreTransaction &,
                          const StoreTransaction &) = default;
};

http1::RequestHead listCall(const std::string &prefix,
                            const std::string &after);
http1::RequestHead watchCall(const std::string &prefix, StoreRevision after,
                             core::Millis wait);

/// A request to the store with its body.
struct StoreCall {
  http1::RequestHead Head;
  std::string Body;
};
StoreCall transactionCall(const StoreTransaction &transaction);
StoreCall grantLeaseCall(core::Millis lifetime);
StoreCall renewLeaseCall(LeaseId lease);
StoreCall revokeLeaseCall(LeaseId lease);

/// Returns the era that a response names; 0 if it names none.
StoreEra parseEra(const http1::HeaderFields &fields);
/// Writes a listing of one page in the format of the store's responses, with
/// the era in its body.
std::string writeListing(const StoreBatch &batch);
/// Parses the response to a list call, or a listing by writeListing().
/// Malformed items are skipped.
core::Result<StoreBatch> parseListing(const std::string &body);
/// Parses the response to a watch call. Malformed items are skipped.
core::Result<StoreBatch> parseChanges(const std::string &body);
core::Result<LeaseId> parseLease(const std::string &body);

} // namespace cowslipridge::platform
