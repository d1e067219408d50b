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

/// One item of the store, or the fact that it was removed.
struct StoredItem {
  std::string Key;
  std::string Value;
  std::int64_t Revision = 0;
  std::int64_t Created = 0;
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

/// The store's state: items, history, leases. No I/O.
class MetadataStore {
public:
  enum class Outcome { Done, ConditionFailed, NoLease };

  [[nodiscard]] std::optional<StoredItem> get(const std::string &key) const;
  /// Items under a prefix, in the order of their keys, after `after`.
  [[nodiscard]] std::vector<StoredItem> list(const std::string &prefix,
                                             const std::string &after) const;
  /// Nothing when that history was dropped.
  [[nodiscard]] std::optional<std::vector<StoredItem>>
  changes(const std::string &prefix, std::int64_t after) const;
  Outcome transact(const std::vector<StoreCondition> &conditions,
                   const std::vector<StoreWrite> &writes,
                   const std::vector<std::string> &removals);
  void put(const std::string &key, const std::string &value);
  void remove(const std::string &key);

  std::int64_t grant(core::Millis lifetime, core::Millis now);
  /// The lifetime; nothing when the lease has ended.
  std::optional<core::Millis> keep(std::int64_t lease, core::Millis now);
  bool endLease(std::int64_t lease);
  void expireLeases(core::Millis now);
  void dropHistory() { History.clear(), OldestKept = Revision; }
  [[nodiscard]] std::int64_t revision() const { return Revision; }

private:
  struct Lease {
    core::Millis Lifetime;
    core::Millis EndsAt;
  };

  void record(StoredItem item);

  std::map<std::string, StoredItem> Items;
  std::deque<StoredItem> History;
  std::map<std::int64_t, Lease> Leases;
  std::int64_t Revision = 100;
  std::int64_t OldestKept = 100;
  std::int64_t NextLease = 1;
};

} // namespace cowslipridge::standins::platform
