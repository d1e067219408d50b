#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Stand-ins for the platform that gateways run on: its metadata store and its
/// runners.
namespace cowslipridge::standins::platform {

/// One item of the store, or its deletion.
struct StoredItem {
  std::string Key;
  std::string Value;
  std::int64_t Revision = 0;
  std::int64_t CreatedRevision = 0;
  std::int64_t Lease = 0;
  bool Deleted = false;
};

struct StoreCondition {
  std::string Key;
  std::int64_t Revision = 0; ///< 0: the key must not exist
};

struct StoreWrite {
  std::string Key;
  std::string Value;
  std::int64_t Lease = 0;
};

/// The state of the store: items, change history and leases. No I/O.
class MetadataStore {
public:
  enum class Outcome { Committed, ConditionFailed, LeaseNotFound };

  [[nodiscard]] std::optional<StoredItem> get(const std::string &key) const;
  /// Returns the items whose keys start with `prefix` and sort after `after`,
  /// in the order of their keys.
  [[nodiscard]] std::vector<StoredItem> list(const std::string &prefix,
                                             const std::string &after) const;
  /// Returns the changes after a revision; nothing if the history since then
  /// was compacted, or if the store has not reached the revision.
  [[nodiscard]] std::optional<std::vector<StoredItem>>
  changes(const std::string &prefix, std::int64_t after) const;
  Outcome transact(const std::vector<StoreCondition> &conditions,
                   const std::vector<StoreWrite> &writes,
                   const std::vector<std::string> &removals);
  void put(const std::string &key, const std::string &value);
  void remove(const std::string &key);

  std::int64_t grantLease(core::Millis lifetime, core::Millis now);
  /// Returns the lifetime of the lease; nothing if the lease has ended.
  std::optional<core::Millis> renewLease(std::int64_t lease, core::Millis now);
  bool revokeLease(std::int64_t lease);
  void expireLeases(core::Millis now);
  void compactHistory() { History.clear(), CompactedRevision = Revision; }
  [[nodiscard]] std::int64_t revision() const { return Revision; }
  /// Replaces the entire state by an earlier copy and starts the next era.
  /// Revisions and leases granted since the copy are given out again.
  void restore(const MetadataStore &copy);
  /// Returns how often the store was restored.
  [[nodiscard]] std::int64_t era() const { return Era; }

private:
  struct Lease {
    core::Millis Lifetime;
    core::Millis ExpiresAt;
  };

  void record(StoredItem item);

  std::map<std::string, StoredItem> Items;
  std::deque<StoredItem> History;
  std::map<std::int64_t, Lease> Leases;
  std::int64_t Revision = 100;
  std::int64_t CompactedRevision = 100;
  std::int64_t NextLease = 1;
  std::int64_t Era = 0;
};

} // namespace cowslipridge::standins::platform
