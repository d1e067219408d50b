#pragma once

#include "cowslipridge/entry/BillDelivery.hpp"
#include "cowslipridge/entry/EntryContext.hpp"
#include "cowslipridge/entry/RequestFlow.hpp"
#include "cowslipridge/http/Server.hpp"
#include "cowslipridge/rollout/Evidence.hpp"
#include "cowslipridge/rpc/ConfigurationPort.hpp"
#include "cowslipridge/rpc/EvidenceFeed.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace cowslipridge::entry {

/// One entry: accepts requests of callers and exchanges status with sidecars.
/// Methods must be called on the loop's thread unless documented otherwise.
class Entry final : public std::enable_shared_from_this<Entry> {
public:
  Entry(rpc::EventLoop &loop, const core::Clock &time,
        observe::EventLog &events, const EntrySettings &settings,
        rpc::ConfigurationPort source);
  ~Entry();

  /// Applies a configuration if it is newer than the current one. Thread-safe.
  void configure(std::shared_ptr<const config::Bundle> bundle);
  [[nodiscard]] std::shared_ptr<const config::Bundle> configuration() const;
  /// Fetches the configuration of a sidecar.
  void fetchBundle(const core::InstanceId &peer,
                   std::function<void(core::Result<rpc::BundleContent>)> done);
  void startTicking();
  /// Refuses new requests; requests in flight continue.
  void drain();
  /// Drains and closes the connections to the sidecars. Nothing is asked of or
  /// reported to the configuration any more.
  void close();
  /// Returns the number of requests in flight.
  [[nodiscard]] std::size_t inFlight() const { return Flows.size(); }
  [[nodiscard]] EntryContext &context() { return Context; }
  [[nodiscard]] const ExplainLog &explanations() const {
    return Context.Explanations;
  }

  /// Handles one request of a caller. Thread-safe.
  void handle(http::Request message,
              std::shared_ptr<http::Responder> responder);

private:
  void begin(CallerRequest request, std::shared_ptr<http::Responder> responder,
             core::Millis arrivedAt);
  rpc::PeerStatus statusFor(const core::InstanceId &peer);
  void onPeerStatus(const rpc::PeerStatus &status, core::Millis sentAfter);
  void offerNewerBundle(const rpc::PeerStatus &status);
  void clearOldCutOffs(core::Generation current);
  void applyCutOff(const rpc::CutOffNotification &notice);

  const rpc::ConfigurationPort Source;
  EntryContext Context;
  std::set<std::shared_ptr<RequestFlow>> Flows;
  bool IsDraining = false;
  rollout::EvidenceTable Evidence;
  rpc::EvidenceFeed EvidenceToForward;
  std::map<route::CutOffKey, rpc::CutOffNotification> CutOffs; ///< in force
  core::Generation CutOffGeneration; ///< that CutOffs apply to
  std::set<core::InstanceId> OffersInProgress;
  std::shared_ptr<BillDelivery> Delivery;
  mutable std::mutex ConfigurationGuard;
  std::shared_ptr<const config::Bundle> Configuration;
};

} // namespace cowslipridge::entry
