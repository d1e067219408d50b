#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/gateway/ControlPlane.hpp"
#include "cowslipridge/observe/Metrics.hpp"
#include "cowslipridge/platform/MonitoredStoreClient.hpp"
#include "cowslipridge/platform/QuarantineRecords.hpp"
#include "cowslipridge/platform/RolloutRecords.hpp"
#include "cowslipridge/platform/StoreRegistration.hpp"
#include "cowslipridge/platform/StoreWatcher.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace cowslipridge::platform {

/// Watches the platform's store and keeps this gateway registered there under a
/// lease. Must outlive the run of the event loop.
class StoreControlPlane final : public gateway::ControlPlane {
public:
  /// `seed` must differ between all processes, also those of one gateway. A
  /// change must be in force within `changeDeadline`.
  StoreControlPlane(boost::asio::io_context &loop, const core::Clock &clock,
                    const config::SocketAddress &address, std::uint64_t seed,
                    core::Millis changeDeadline, observe::Metrics &metrics);

  void start(gateway::Peer self, Listener listener,
             std::function<void()> onSynced) override;
  void advance(const rollout::RolloutStatus &status,
               const rollout::RolloutProgress &progress) override;
  void recordQuarantine(const limits::QuarantinedTrait &trait) override {
    Quarantined.write(trait);
  }
  [[nodiscard]] bool hasStoreResponded() const override {
    return Store.hasStoreResponded();
  }
  void deregister() override;
  [[nodiscard]] std::optional<std::string> snapshot() const override;
  bool adopt(const std::string &snapshot) override;

private:
  void onRestored();
  void applyListing(const StoreListing &listing);
  void reportRemovedPeers(const StoreListing &listing);
  void reportServers(const StoreListing &listing);
  void reportEvacuations(const StoreListing &listing);
  void reportRollouts(const StoreListing &listing);
  void applyChange(const StoreItem &item);
  /// Applies an item of a kind of which a listing reports each item separately.
  void apply(const StoreItem &item);
  void applyConfiguration(const StoreItem &item);
  void applyServer(const std::string &id, const StoreItem &item);
  void applyEvacuation(const std::string &domain, const StoreItem &item);
  void applyOrder(const std::string &service, const StoreItem &item);
  void applyRecord(const StoreItem &item);
  void applyQuarantine(const StoreItem &item);
  void applyPeer(const std::string &name, const StoreItem &item);

  void report(const gateway::ControlEvent &event) { OnEvent(event); }

  MonitoredStoreClient Store;
  StoreWatcher Watcher;
  StoreRegistration Registration;
  gateway::Peer Self;
  Listener OnEvent;
  std::function<void()> OnSynced;
  QuarantineRecords Quarantined;
  RolloutRecords Records;
  core::Random RecordIds;
  std::set<std::string> PeerKeys; ///< including this gateway's own
  StoreEra ReportedEra = 0;       ///< latest that was reported as a restore
  /// The newest valid configuration from the store or a peer, as text. The
  /// store holds an older one after a restore.
  std::optional<std::pair<core::Generation, std::string>> NewestConfiguration;
};

} // namespace cowslipridge::platform
