#pragma once

#include "cowslipridge/gateway/ControlPlane.hpp"
#include "cowslipridge/observe/Metrics.hpp"
#include "cowslipridge/platform/MonitoredStoreClient.hpp"
#include "cowslipridge/platform/StoreRegistration.hpp"
#include "cowslipridge/platform/StoreWatcher.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cowslipridge::platform {

/// Watches the platform's store and keeps this gateway registered there under a
/// lease. Must outlive the run of the event loop.
class StoreControlPlane final : public gateway::ControlPlane {
public:
  /// `seed` must differ between gateways.
  StoreControlPlane(boost::asio::io_context &loop, const core::Clock &clock,
                    const config::SocketAddress &address, std::uint64_t seed,
                    observe::Metrics &metrics);

  void start(gateway::Peer self, Listener listener,
             std::function<void()> onSynced) override;
  void advance(const rollout::RolloutStatus &status,
               const rollout::RolloutProgress &progress) override;
  [[nodiscard]] bool hasStoreResponded() const override {
    return Store.hasStoreResponded();
  }
  void deregister() override;
  [[nodiscard]] std::optional<std::string> snapshot() const override;
  bool adopt(const std::string &snapshot) override;

private:
  void applyListing(const std::vector<StoreItem> &items,
                    StoreRevision revision);
  void reportRemoved(const std::vector<StoreItem> &items,
                     StoreRevision revision);
  void apply(const StoreItem &item);
  void applyConfiguration(const StoreItem &item);
  void applyServer(const std::string &id, const StoreItem &item);
  void applyOrder(const std::string &service, const StoreItem &item);
  void applyStatus(const std::string &service, const StoreItem &item);
  void applyProgress(const std::string &service, const StoreItem &item);
  void applyPeer(const std::string &name, const StoreItem &item);

  void report(const gateway::ControlEvent &event) { OnEvent(event); }

  MonitoredStoreClient Store;
  StoreWatcher Watcher;
  StoreRegistration Registration;
  gateway::Peer Self;
  Listener OnEvent;
  std::function<void()> OnSynced;
  /// Last received revision of each key that advance() writes; keys that don't
  /// exist are absent.
  std::map<std::string, StoreRevision> Revisions;
  std::set<std::string> RolloutAndPeerKeys;
  std::set<std::string> PeerKeys; ///< including this gateway's own
};

} // namespace cowslipridge::platform
