#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/PauseDetector.hpp"
#include "cowslipridge/gateway/BufferRelief.hpp"
#include "cowslipridge/gateway/ConfigurationLag.hpp"
#include "cowslipridge/gateway/ControlPlane.hpp"
#include "cowslipridge/gateway/DescriptorShares.hpp"
#include "cowslipridge/gateway/Dispatcher.hpp"
#include "cowslipridge/gateway/DrainPolicy.hpp"
#include "cowslipridge/gateway/GatewayGauges.hpp"
#include "cowslipridge/gateway/PeerExchange.hpp"
#include "cowslipridge/gateway/PeerSnapshots.hpp"
#include "cowslipridge/gateway/RecentRequests.hpp"
#include "cowslipridge/gateway/RequestFlow.hpp"
#include "cowslipridge/gateway/StartupQueue.hpp"
#include "cowslipridge/gateway/Translator.hpp"
#include "cowslipridge/http1/Client.hpp"
#include "cowslipridge/http1/LoopTimer.hpp"
#include "cowslipridge/http1/Server.hpp"
#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/observe/Metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <variant>

namespace cowslipridge::gateway {

/// One gateway on one event loop. Must outlive the run of the loop.
class Gateway {
public:
  Gateway(boost::asio::io_context &loop, const core::Clock &clock,
          const config::GatewaySettings &settings, const Translator &translator,
          ControlPlane &control, observe::EventLog &log,
          observe::Metrics &metrics);

  /// Binds the addresses and starts to watch the control plane. Throws
  /// boost::system::system_error when an address can't be bound.
  void start();
  /// Reports itself not ready, completes the requests in flight, then stops the
  /// loop.
  void drain();

private:
  void onControl(const ControlEvent &event);
  void on(const CatalogueChanged &event);
  void on(const CatalogueRefused &event);
  void on(const EntryRefused &event);
  void on(const ServerChanged &event);
  void on(const ServerRemoved &event);
  void on(const ServersListed &event);
  void on(const EvacuationChanged &event);
  void on(const EvacuationWithdrawn &event);
  void on(const EvacuationsListed &event);
  void on(const RolloutCommandChanged &event);
  void on(const RolloutWithdrawn &event);
  void on(const RolloutStatusChanged &event);
  void on(const RolloutProgressChanged &event);
  void on(const RolloutsListed &event);
  void on(const PeerChanged &event);
  void on(const PeerRemoved &event);
  void on(const RegistrationChanged &event);
  void on(const QuarantineReported &event);
  void on(const ControlPlaneUnavailable &event);
  void on(const ControlPlaneAvailable &event);
  void on(const ControlPlaneRestored &event);

  void onQuarantine(const QuarantineStart &start);
  /// Calls `handler` of each request in progress.
  void forEachFlow(void (RequestFlow::*handler)());
  /// Ends the requests that the policy no longer accepts.
  void recheckRequests();
  /// Returns the response to a request whose body there is no room for.
  http1::ResponseHead rejectForLackOfRoom(const http1::RequestHead &head);
  /// Returns the response to a request that is refused whatever its body, if it
  /// is.
  std::optional<http1::ResponseHead>
  refuseEarly(const http1::RequestHead &head);
  [[nodiscard]] http1::ServerLimits
  callerLimits(const catalogue::CallerLimits &declared) const;
  /// Gives all requests in flight their final answers.
  void endRequests();
  void onRequest(const std::shared_ptr<http1::Exchange> &exchange);
  /// Serves the request, or rejects it.
  void answer(const std::shared_ptr<http1::Exchange> &exchange,
              const CallerRequest &caller);
  /// Holds the request until the configuration is known.
  void holdRequest(const std::shared_ptr<http1::Exchange> &exchange,
                   const CallerRequest &caller);
  /// Releases the requests that are held when there is a reason to.
  void releaseHeld(core::Millis now);
  void onSynced();
  [[nodiscard]] bool hasConfiguration() const;
  /// Returns whether the store or a peer is likely to send the configuration
  /// soon.
  [[nodiscard]] bool expectsConfiguration(core::Millis now) const;
  /// Returns the context of an accepted request, or the reason for its
  /// rejection.
  [[nodiscard]] std::variant<RequestContext, ErrorReply>
  resolve(const CallerRequest &caller, core::Millis begunAt) const;
  /// Sends an accepted request to a runner.
  void forward(const std::shared_ptr<http1::Exchange> &exchange,
               RequestContext request);
  /// Returns the attempts of earlier requests with the same id.
  EarlierAttempts recordArrival(const RequestContext &request);
  /// Reports that the request is refused and returns the response.
  http1::ResponseHead refuse(const core::RequestId &request,
                             const ErrorReply &refusal);
  void onReadiness(http1::Exchange &exchange);
  void onScrape(http1::Exchange &exchange);
  /// Reports a runner's new or changed entry. When the runner has restarted,
  /// removes the state of its previous incarnation.
  void onServerEntry(const membership::BackendServer &server);
  void registerServer(const membership::BackendServer &server);
  /// Removes and adds runners whose deferred changes are due.
  void updateServers(core::Millis now);
  void removeServer(const core::RunnerId &runner);
  /// Reports the failure domains whose evacuation has ended.
  void updateEvacuations(core::Millis now);
  void scheduleTick();
  void tick();
  void reportPause(core::Millis now);
  void reportRelays(core::Millis now);
  void driveRollouts(core::Millis now);
  void drainStep(core::Millis now);
  [[nodiscard]] bool isReady() const;
  /// Returns whether a peer's snapshot may be fetched.
  [[nodiscard]] bool mayQueryPeers() const;
  /// Returns the position of this gateway among all gateways, ordered by name.
  [[nodiscard]] std::size_t rank() const;
  void reportStatus(const rollout::RolloutStatus &status);
  void report(observe::EventNumber number, std::string detail);

  boost::asio::io_context &Loop;
  const core::Clock &Clock;
  const config::GatewaySettings Settings;
  const Translator &Translation;
  ControlPlane &Control;
  observe::EventLog &Log;
  observe::Metrics &Metrics;
  Dispatcher RequestDispatcher;
  const DescriptorShares Descriptors;
  RecentRequests Recent;
  http1::Client Runners;
  const http1::BufferBudget Buffers;
  FlowContext Flows;
  BufferRelief Relief;
  http1::Server Callers;
  http1::Server Readiness;
  http1::Server Scrapes;
  PeerExchange Peers;
  PeerSnapshots Snapshots;
  ConfigurationLag PeerConfiguration;
  GatewayGauges Gauges;
  StartupQueue Held;
  http1::LoopTimer Ticker;
  core::PauseDetector Pauses;
  core::Millis StartedAt;
  core::Millis SyncedAt;
  bool IsRegistered = false;
  bool Synced = false;
  bool ReadyReported = false;
  DrainPolicy Drain;
  bool RequestsEnded = false; ///< by endRequests()
  std::optional<core::Millis> StoreUnavailableSince;
  core::Millis ReportedAt;
  core::Millis RelayedAt;
  bool WasRelay = false;
  std::uint64_t MalformedReported = 0;
  core::Millis MalformedReportedAt;
  core::Millis AdvancedAt;
};

} // namespace cowslipridge::gateway
