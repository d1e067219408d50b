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

/// The work of one entry. Methods belong to the loop's thread unless they say
/// otherwise.
class Entry final : public std::enable_shared_from_this<Entry> {
public:
  Entry(rpc::EventLoop &loop, const core::Clock &time,
        observe::EventLog &events, const EntrySettings &settings,
        rpc::ConfigurationPort source);
  ~Entry();

  /// Puts a newer configuration in force; older ones are ignored. From any
  /// thread.
  void configure(std::shared_ptr<const config::Bundle> bundle);
  [[nodiscard]] std::shared_ptr<const config::Bundle> configuration() const;
  /// Asks a sidecar for its configuration.
  void fetchBundle(const core::InstanceId &peer,
                   std::function<void(core::Result<rpc::BundleContent>)> done);
  void startTicking();
  /// Refuses new requests; those in flight go on.
  void drain();
  /// Requests in flight.
  [[nodiscard]] std::size_t inFlight() const { return Flows.size(); }
  [[nodiscard]] EntryContext &context() { return Context; }
  [[nodiscard]] const ExplainLog &explanations() const {
    return Context.Explanations;
  }

  /// Takes one request of a caller. From any thread.
  void handle(http::Request message,
              std::shared_ptr<http::Responder> responder);

private:
  void begin(CallerRequest request, std::shared_ptr<http::Responder> responder,
             core::Millis arrivedAt);
  rpc::PeerStatus statusFor(const core::InstanceId &peer);
  void hear(const rpc::PeerStatus &status, core::Millis sentAfter);
  void offerIfBehind(const rpc::PeerStatus &status);
  void dropOldCutOffs(core::Generation current);
  void takeCutOff(const rpc::CutOffNotification &notice);

  const rpc::ConfigurationPort Source;
  EntryContext Context;
  std::set<std::shared_ptr<RequestFlow>> Flows;
  bool Leaving = false;
  rollout::EvidenceTable Evidence;
  rpc::EvidenceFeed Spread;
  std::map<route::CutOffKey, rpc::CutOffNotification> CutOffs; ///< in force
  core::Generation CutOffsOf; ///< the generation they hold in
  std::set<core::InstanceId> Offering;
  std::shared_ptr<BillDelivery> Delivery;
  mutable std::mutex ConfigurationGuard;
  std::shared_ptr<const config::Bundle> Configuration;
};

} // namespace cowslipridge::entry
