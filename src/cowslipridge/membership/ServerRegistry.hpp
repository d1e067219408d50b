#pragma once

#include "cowslipridge/membership/BackendServer.hpp"
#include "cowslipridge/membership/EntryHistory.hpp"
#include "cowslipridge/membership/LeavingRunners.hpp"

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
///
/// After the store was restored from an older copy, a listing may hold entries
/// that were replaced or removed since the copy. Those of known runners are
/// ignored. Those of runners that left are held until a later entry confirms
/// them, or until the platform would have removed them.
class ServerRegistry {
public:
  /// Time for runners to register again once the store is available.
  static constexpr core::Millis ReregistrationPeriod{2'200};
  /// Time after which an entry that is still registered shows a live runner:
  /// the platform removes entries that are not renewed sooner.
  static constexpr core::Millis HeldEntryPeriod{6'000};

  /// Registers a runner or replaces its entry. One that announced its shutdown
  /// stays draining whatever the entry says.
  void put(const BackendServer &server);
  /// Handles a response in which the incarnation of a runner that started at
  /// `startedAt` announced its shutdown: it is draining from now on. Returns
  /// false if that was known.
  bool onLeaving(const core::RunnerId &id, core::Millis startedAt,
                 core::Millis now);
  /// Handles the removal of an entry. Returns true when the runner is removed
  /// at once, false when it is unknown or its removal is deferred.
  bool remove(const core::RunnerId &id, core::Millis now);
  /// Returns the listed entries for replaceAll(). In a listing after a restore,
  /// outdated ones are replaced by the known entries, or held.
  std::vector<BackendServer>
  reconcile(const std::vector<BackendServer> &servers, bool afterRestore,
            core::Millis now);
  /// Replaces all entries by the store's current ones and returns the runners
  /// that were removed at once.
  std::vector<core::RunnerId>
  replaceAll(const std::vector<BackendServer> &servers, core::Millis now);
  /// Handles the start of a store outage.
  void onStoreUnavailable() { StoreUnavailable = true; }
  /// Handles the end of a store outage, or a restore from an older copy.
  void onStoreAvailable(core::Millis now);
  /// Applies deferred removals when they are due and returns their runners.
  std::vector<core::RunnerId> tick(core::Millis now);
  /// Returns the held entries that are due, to be registered.
  std::vector<BackendServer> takeConfirmed(core::Millis now);

  [[nodiscard]] const BackendServer *find(const core::RunnerId &id) const;
  /// Returns all runners, ordered by id.
  [[nodiscard]] const std::map<core::RunnerId, BackendServer> &all() const {
    return Servers;
  }

private:
  struct HeldEntry {
    BackendServer Server;
    core::Millis Since;
  };

  [[nodiscard]] bool isUncertain(core::Millis now) const;
  void erase(std::map<core::RunnerId, BackendServer>::iterator it,
             core::Millis now);

  std::map<core::RunnerId, BackendServer> Servers;
  /// Runners whose removal is deferred.
  std::set<core::RunnerId> PendingRemovals;
  std::map<core::RunnerId, HeldEntry> HeldEntries;
  EntryHistory History;
  LeavingRunners Leaving;
  bool StoreUnavailable = false;
  std::optional<core::Millis> StoreAvailableAt;
};

} // namespace cowslipridge::membership
