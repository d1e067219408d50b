#pragma once

#include "cowslipridge/gateway/ControlPlane.hpp"
#include "cowslipridge/observe/Metrics.hpp"
#include "cowslipridge/platform/StoreContact.hpp"
#include "cowslipridge/platform/StoreFollower.hpp"
#include "cowslipridge/platform/StoreRegistration.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cowslipridge::platform {

/// Follows the platform's store by one watch and keeps this gateway registered
/// there under a lease. Must outlive the loop's run.
class StoreControlPlane final : public gateway::ControlPlane {
public:
  /// `seed` differs between gateways.
  StoreControlPlane(boost::asio::io_context &loop, const core::Clock &clock,
                    const config::SocketAddress &address, std::uint64_t seed,
                    observe::Metrics &counts);

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
  void applyListing(const std::vector<StoreItem> &items, StoreRevision at);
  void reportRemoved(const std::vector<StoreItem> &items, StoreRevision at);
  void apply(const StoreItem &item);
  void applyConfiguration(const StoreItem &item);
  void applyServer(const std::string &id, const StoreItem &item);
  void applyOrder(const std::string &service, const StoreItem &item);
  void applyStatus(const std::string &service, const StoreItem &item);
  void applyProgress(const std::string &service, const StoreItem &item);
  void applyPeer(const std::string &name, const StoreItem &item);

  void report(const gateway::ControlEvent &event) { Listen(event); }

  StoreContact Store;
  StoreFollower Items;
  StoreRegistration Registration;
  gateway::Peer Self;
  Listener Listen;
  std::function<void()> Synced;
  /// Last revision heard of each key that advance() writes; none: absent.
  std::map<std::string, StoreRevision> Revisions;
  std::set<std::string> KnownKeys; ///< of orders and peers
  std::set<std::string> PeerKeys;  ///< this gateway's own among them
};

} // namespace cowslipridge::platform
