#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/http1/Message.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Calls of the platform's metadata store and their answers, without I/O.
namespace cowslipridge::platform {

/// A position in the store's history; every change has a higher one.
using StoreRevision = std::int64_t;
/// Keys written under a lease vanish when it ends; 0: no lease.
using LeaseId = std::int64_t;

/// Statuses of the store's answers.
namespace status {
inline constexpr int Ok = 200;
inline constexpr int NotFound = 404;
inline constexpr int HistoryGone = 410;
inline constexpr int ConditionFailed = 412;
inline constexpr int TooManyCalls = 429;
} // namespace status

/// One item, or the fact that it was deleted.
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
  StoreRevision At = 0; ///< the store's revision when it answered
  bool HasMore = false; ///< a listing goes on after the last key
};

/// One write under a condition.
struct ConditionalWrite {
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
  bool Conditional = false;
  StoreRevision Expected = 0; ///< 0: the key must not exist
};

http1::RequestHead listCall(const std::string &prefix,
                            const std::string &after);
http1::RequestHead watchCall(const std::string &prefix, StoreRevision after,
                             core::Millis wait);

/// A call with a body.
struct StoreCall {
  http1::RequestHead Head;
  std::string Body;
};
StoreCall writeCall(const std::vector<ConditionalWrite> &writes);
StoreCall grantLeaseCall(core::Millis lifetime);
StoreCall renewLeaseCall(LeaseId lease);
StoreCall revokeLeaseCall(LeaseId lease);

/// A listing of one page, as the store would answer it.
std::string writeListing(const StoreBatch &batch);
/// The answer of a listing; items that can't be read are left out.
core::Result<StoreBatch> parseListing(const std::string &body);
/// The answer of a watch.
core::Result<StoreBatch> parseChanges(const std::string &body);
core::Result<LeaseId> parseLease(const std::string &body);

} // namespace cowslipridge::platform
