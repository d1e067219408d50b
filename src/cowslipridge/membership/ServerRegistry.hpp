#pragma once

#include "cowslipridge/membership/BackendServer.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cowslipridge::membership {

/// Tracks the registered runners, from the entries in the registry store.
///
/// An entry that expired because the store was unavailable does not show that
/// its runner has stopped. Removals reported while the store is unavailable, or
/// shortly after it is available again, therefore take effect only once runners
/// had time to register again.
class ServerRegistry {
public:
  /// Time for runners to register again once the store is available.
  static constexpr core::Millis ReregistrationPeriod{2'200};

  void put(const BackendServer &server);
  /// Handles the removal of an entry. Returns true when the runner is removed
  /// at once, false when it is unknown or its removal is deferred.
  bool remove(const core::RunnerId &id, core::Millis now);
  /// Replaces all entries by the store's current ones and returns the runners
  /// that were removed at once.
  std::vector<core::RunnerId>
  replaceAll(const std::vector<BackendServer> &servers, core::Millis now);
  /// Handles the start of a store outage.
  void onStoreUnavailable() { StoreUnavailable = true; }
  void onStoreAvailable(core::Millis now);
  /// Applies deferred removals when they are due and returns their runners.
  std::vector<core::RunnerId> tick(core::Millis now);

  [[nodiscard]] const BackendServer *find(const core::RunnerId &id) const;
  /// Returns all runners, ordered by id.
  [[nodiscard]] const std::map<core::RunnerId, BackendServer> &all() const {
    return Servers;
  }

private:
  [[nodiscard]] bool isUncertain(core::Millis now) const;

  std::map<core::RunnerId, BackendServer> Servers;
  /// Runners whose removal is deferred.
  std::set<core::RunnerId> PendingRemovals;
  bool StoreUnavailable = false;
  std::optional<core::Millis> StoreAvailableAt;
};

} // namespace cowslipridge::membership
