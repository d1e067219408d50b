#pragma once

#include "cowslipridge/membership/BackendServer.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cowslipridge::membership {

/// Which runners there are, from what the registry store says.
///
/// An entry that lapsed because the store was away says little about its
/// runner. So removals that become known while the store is away, or shortly
/// after it is back, take effect only once runners had time to register again.
class ServerRegistry {
public:
  /// Time after the store's return in which lapsed entries come back.
  static constexpr core::Millis ReregistrationPeriod{2'200};

  void put(const BackendServer &server);
  /// An entry was removed. Returns true when the runner is gone at once.
  bool remove(const core::RunnerId &id, core::Millis now);
  /// All entries that the store holds now; what it lacks was removed.
  std::vector<core::RunnerId>
  replaceAll(const std::vector<BackendServer> &servers, core::Millis now);
  /// The store stopped answering.
  void onStoreUnavailable() { StoreUnavailable = true; }
  void onStoreAvailable(core::Millis now);
  /// Runners whose removal takes effect now.
  std::vector<core::RunnerId> tick(core::Millis now);

  [[nodiscard]] const BackendServer *find(const core::RunnerId &id) const;
  /// In the order of their ids.
  [[nodiscard]] const std::map<core::RunnerId, BackendServer> &all() const {
    return Servers;
  }

private:
  [[nodiscard]] bool isUncertain(core::Millis now) const;

  std::map<core::RunnerId, BackendServer> Servers;
  /// Removed while that said little.
  std::set<core::RunnerId> Lapsed;
  bool StoreUnavailable = false;
  std::optional<core::Millis> StoreAvailableAt;
};

} // namespace cowslipridge::membership
