#pragma once

#include "cowslipridge/gateway/ControlPlane.hpp"
#include "cowslipridge/observe/Metrics.hpp"
#include "cowslipridge/platform/StoreClient.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cowslipridge::platform {

/// Follows the platform's store by one watch and keeps this gateway registered
/// there under a lease. Must outlive the loop's run.
class StoreControlPlane final : public gateway::ControlPlane {
public:
  StoreControlPlane(boost::asio::io_context &loop, const core::Clock &clock,
                    const config::SocketAddress &store,
                    observe::Metrics &counts);

  void start(gateway::Peer self, Listener listener,
             std::function<void()> onSynced) override;
  void advance(const rollout::RolloutStatus &status,
               const rollout::RolloutProgress &progress) override;
  void leave() override;

private:
  void list(const std::string &after);
  void onPage(const StoreReply &reply);
  void applyListing();
  void reportRemoved();
  void watch();
  void onChanges(const StoreReply &reply);
  void apply(const StoreItem &item);
  void applyConfiguration(const StoreItem &item);
  void applyServer(const std::string &id, const StoreItem &item);
  void applyOrder(const std::string &service, const StoreItem &item);
  void applyStatus(const std::string &service, const StoreItem &item);
  void applyProgress(const std::string &service, const StoreItem &item);
  void applyPeer(const std::string &name, const StoreItem &item);

  void renewLater();
  void renew();
  void grant();
  void registerSelf();
  void onLeaseReply(const StoreReply &reply);

  /// Whether the store carried a call out; notes its loss and its return.
  bool noteReply(const StoreReply &reply, std::string_view call);
  void retryLater();
  void report(const gateway::ControlEvent &event) { Listen(event); }

  StoreClient Store;
  observe::Metrics &Counts;
  boost::asio::steady_timer WatchTimer;
  boost::asio::steady_timer LeaseTimer;
  gateway::Peer Self;
  Listener Listen;
  std::function<void()> Synced;
  StoreRevision At = 0;
  std::vector<StoreItem> Listing;
  std::shared_ptr<http1::Call> Watching;
  /// Last revision heard of each key that advance() writes; none: absent.
  std::map<std::string, StoreRevision> Revisions;
  std::set<std::string> KnownKeys; ///< of orders and peers
  LeaseId Lease = 0;
  bool Away = false;
  bool Leaving = false;
};

} // namespace cowslipridge::platform
