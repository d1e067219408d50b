#include "cowslipridge/gateway/Gateway.hpp"

#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/gateway/AuxiliaryLimits.hpp"
#include "cowslipridge/gateway/EventDetails.hpp"

#include <boost/asio/ip/address.hpp>

#include <random>
#include <utility>

namespace cowslipridge::gateway {

namespace {

using observe::EventNumber;

constexpr core::Millis TickInterval{50};
constexpr core::Millis ReportInterval{200};
/// Time for which a relay collects the reports of its failure domain. With
/// less, the headers of the datagrams take up more than is gained.
constexpr core::Millis RelayInterval{100};
/// Longest gap between two ticks that is not logged as a pause.
constexpr core::Millis PauseLimit{200};
/// Shortest time between two warnings of malformed datagrams, which a faulty
/// peer may send many of.
constexpr core::Millis WarningGap{1'000};
/// Time between two attempts to write a roll-out's next record, so that the
/// watch can deliver the first write.
constexpr core::Millis AdvanceInterval{500};
/// Time after the first listing for the reports of peers to arrive.
constexpr core::Millis PeerReportWait{500};
/// A store that has not responded by this time after the start counts as
/// unavailable.
constexpr core::Millis FirstResponseTimeout{300};

/// Two fifths of the memory are for the bytes held for callers and runners.
constexpr std::size_t BufferShareFactor = 2;
constexpr std::size_t BufferShareDivisor = 5;
/// What a connection of a caller takes up before it carries a request.
constexpr std::size_t ConnectionBytes = 12UL * 1024;
/// What the operating system holds for it, in each direction.
constexpr std::size_t SocketBufferBytes = 64UL * 1024;
/// Descriptors if the settings name no limit.
constexpr std::size_t MaxFiles = 1'024;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;

EventNumber eventOf(const RunnerNotice &notice) {
  return std::visit(
      core::Overloaded{
          [](const LeavingAnnounced &) { return EventNumber::RunnerLeaving; },
          [](const limits::BackoffRequest &) {
            return EventNumber::RunnerBackoff;
          },
          [](const limits::RateLimitStatement &) {
            return EventNumber::RunnerRateLimit;
          },
          [](const RunnerSuspected &) { return EventNumber::RunnerSuspected; },
          [](const RunnerCold &) { return EventNumber::RunnerCold; }},
      notice);
}

http1::ClientLimits runnerLimits(std::size_t maxConnections) {
  http1::ClientLimits limits;
  limits.MaxConnections = maxConnections;
  return limits;
}

http1::Endpoint toEndpoint(const config::SocketAddress &address) {
  return {boost::asio::ip::make_address(address.Host), address.Port};
}

} // namespace

Gateway::Gateway(boost::asio::io_context &loop, const core::Clock &clock,
                 const config::GatewaySettings &settings,
                 const Translator &translator, ControlPlane &control,
                 observe::EventLog &log, observe::Metrics &metrics)
    : Loop(loop), Clock(clock), Settings(settings), Translation(translator),
      Control(control), Log(log), Metrics(metrics), RequestDispatcher(settings),
      Descriptors(shareDescriptors(settings.Descriptors.value_or(MaxFiles))),
      Recent(std::random_device()()),
      Runners(loop, clock, runnerLimits(Descriptors.Runners)),
      Buffers(settings.Memory / BufferShareDivisor * BufferShareFactor),
      Flows{.Loop = loop,
            .Clock = clock,
            .Translation = translator,
            .Policy = RequestDispatcher,
            .Runners = Runners,
            .Log = log,
            .Counts = metrics,
            .Buffers = Buffers,
            .Recent = Recent,
            .OnBuffersExceeded = [this] { Relief.schedule(); },
            .Active = {}},
      Relief(Flows,
             [this](std::size_t minBytes) {
               return Callers.endLargest(minBytes);
             }),
      Callers(loop, clock, [this](const auto &it) { onRequest(it); }),
      Readiness(loop, clock, [this](const auto &it) { onReadiness(*it); }),
      Scrapes(loop, clock, [this](const auto &it) { onScrape(*it); }),
      Peers(loop, clock, RequestDispatcher),
      Snapshots(loop, clock, control,
                [this](const http1::Endpoint &it) {
                  report(EventNumber::PeerSnapshotTaken,
                         "from=" + it.address().to_string() + ":" +
                             std::to_string(it.port()));
                }),
      Gauges(metrics), Ticker(loop), Pauses(PauseLimit),
      Drain(settings.GracePeriod) {
  RequestDispatcher.setEjectionListener(
      [this](const limits::EjectionChange &change, AttemptOutcome outcome) {
        report(change.isEjected() ? EventNumber::RunnerEjected
                                  : EventNumber::RunnerReadmitted,
               describe(change, outcome));
      });
  RequestDispatcher.setRunnerNoticeListener([this](const RunnerNotice &notice) {
    report(eventOf(notice), describe(notice));
  });
  Callers.setLimits(callerLimits({}));
  Callers.setBufferBudget(Buffers, {.NoRoom =
                                        [this](const http1::RequestHead &head) {
                                          return rejectForLackOfRoom(head);
                                        },
                                    .Exceeded = [this] { Relief.schedule(); }});
  Callers.setHeadFilter(
      [this](const http1::RequestHead &head) { return refuseEarly(head); });
  Readiness.setLimits(auxiliaryLimits());
  Scrapes.setLimits(auxiliaryLimits());
  RequestDispatcher.crashes().setListener(
      [this](const QuarantineStart &it) { onQuarantine(it); });
}

http1::ServerLimits
Gateway::callerLimits(const catalogue::CallerLimits &declared) const {
  http1::ServerLimits limits;
  limits.Request = {declared.MaxHeaderBytes, declared.MaxBodyBytes};
  limits.HeaderTimeout = declared.HeaderTimeout;
  limits.IdleTimeout = declared.IdleTimeout;
  limits.MaxConnections = Descriptors.Callers;
  limits.ConnectionBytes = ConnectionBytes;
  limits.SocketBufferBytes = SocketBufferBytes;
  return limits;
}

void Gateway::start() {
  Readiness.listen(toEndpoint(Settings.Readiness));
  Callers.listen(toEndpoint(Settings.Callers));
  if (Settings.Metrics)
    Scrapes.listen(toEndpoint(*Settings.Metrics));
  const Peer self{Settings.Instance, Settings.Peers.Host, Settings.Peers.Port,
                  Settings.Domain, peers::ProtocolVersion};
  Peers.enableRelays(self, core::Incarnation(static_cast<std::uint64_t>(
                               Clock.wall().count())));
  Peers.listen(Settings.Peers);
  Snapshots.listen(toEndpoint(Settings.Peers));
  Peers.setPresenceListener([this](const core::InstanceId &peer,
                                   bool isReporting) {
    report(isReporting ? EventNumber::PeerReporting : EventNumber::PeerTimedOut,
           "peer=" + peer.str());
  });
  Peers.setUnknownPeerListener([this](const auto &sender) {
    if (mayQueryPeers())
      Snapshots.fetch({sender.address(), sender.port()});
  });
  Peers.setConfigurationListener(
      [this](core::Generation generation, const auto &sender) {
        const core::Millis now = Clock.monotonic();
        const core::Generation own = RequestDispatcher.generation();
        PeerConfiguration.onReport(generation, own, now);
        if (Synced && generation > own && PeerConfiguration.isOverdue(own, now))
          Snapshots.fetch({sender.address(), sender.port()});
      });
  StartedAt = Clock.monotonic();
  RequestDispatcher.setRegistration({StartedAt, StartedAt});
  Control.start(
      self, [this](const ControlEvent &it) { onControl(it); },
      [this] { onSynced(); });
  scheduleTick();
}

// A store that is only slow or busy takes precedence over a peer's snapshot,
// because its state is newer.
bool Gateway::mayQueryPeers() const {
  const bool unresponsive =
      !Control.hasStoreResponded() &&
      Clock.monotonic() - StartedAt > FirstResponseTimeout;
  return !Synced && (StoreUnavailableSince || unresponsive);
}

void Gateway::onSynced() {
  Synced = true;
  SyncedAt = Clock.monotonic();
  if (!Peers.peers().empty())
    RequestDispatcher.onStartedBesidePeers(SyncedAt);
  releaseHeld(SyncedAt);
}

bool Gateway::hasConfiguration() const {
  return Synced && RequestDispatcher.catalogue();
}

bool Gateway::expectsConfiguration(core::Millis now) const {
  if (Synced)
    return false;
  const bool storeMayRespond =
      Control.hasStoreResponded() || now - StartedAt <= FirstResponseTimeout;
  return (storeMayRespond && !StoreUnavailableSince) || Snapshots.isFetching();
}

bool Gateway::isReady() const {
  return hasConfiguration() && !Drain.hasBegun();
}

void Gateway::onReadiness(http1::Exchange &exchange) {
  http1::ResponseHead head;
  head.Status = NotFound;
  if (exchange.head().Target == Translation.readinessPath())
    head.Status = isReady() ? 200 : Unavailable;
  exchange.respond(std::move(head), {});
}

void Gateway::onScrape(http1::Exchange &exchange) {
  Gauges.update({RequestDispatcher, Callers.inFlight(), Callers.connections(),
                 Peers.countReporting(), Buffers.used(), StoreUnavailableSince,
                 Clock.monotonic()});
  http1::ResponseHead head;
  head.Fields.add("Content-Type", observe::ScrapeMediaType);
  exchange.respond(std::move(head), Metrics.scrape());
}

void Gateway::onQuarantine(const QuarantineStart &start) {
  const bool isContent =
      start.Quarantined.Trait.Kind == limits::TraitKind::Content;
  report(isContent ? EventNumber::ContentQuarantined
                   : EventNumber::SegmentQuarantined,
         describe(start));
  if (start.isOwnDecision())
    Control.recordQuarantine(start.Quarantined);
  // Deferred, because the policy is in the middle of its decision.
  boost::asio::post(Loop, [this] { recheckRequests(); });
}

void Gateway::forEachFlow(void (RequestFlow::*handler)()) {
  // The handler may end requests.
  const auto active = Flows.Active;
  for (const auto &it : active) {
    if (const auto flow = it.lock())
      ((*flow).*handler)();
  }
}

void Gateway::recheckRequests() { forEachFlow(&RequestFlow::onPolicyChanged); }

void Gateway::endRequests() {
  Held.releaseAll();
  forEachFlow(&RequestFlow::onProcessEnding);
}

void Gateway::scheduleTick() {
  Ticker.start(TickInterval, [this] { tick(); });
}

void Gateway::tick() {
  // First, so that an exception below does not end the ticks.
  scheduleTick();
  const core::Millis now = Clock.monotonic();
  reportPause(now);
  updateServers(now);
  updateEvacuations(now);
  releaseHeld(now);
  for (const core::ServiceId &it : RequestDispatcher.trials().tick(now))
    report(EventNumber::RolloutAdvanced,
           "ordered, as a restored store still shows, service=" + it.str());
  RequestDispatcher.tick(now);
  Peers.expire(now);
  reportRelays(now);
  if (now - ReportedAt >= ReportInterval ||
      RequestDispatcher.hasUrgentReport()) {
    ReportedAt = now;
    RelayedAt = now;
    Peers.sendReports(Drain.exitsWithin(now));
  } else if (now - RelayedAt >= RelayInterval) {
    RelayedAt = now;
    Peers.relayReports();
  }
  driveRollouts(now);
  if (isReady() && !std::exchange(ReadyReported, true))
    Log.report(EventNumber::ProcessReady, {});
  drainStep(now);
}

void Gateway::reportPause(core::Millis now) {
  const auto pause = Pauses.tick(now);
  if (!pause)
    return;
  report(EventNumber::PauseDetected, std::to_string(pause->count()) + " ms");
}

void Gateway::reportRelays(core::Millis now) {
  // A gateway without a view of its domain acts as the relay until it has one.
  const bool isRelay = Synced && Peers.isRelay(now);
  if (std::exchange(WasRelay, isRelay) != isRelay)
    report(isRelay ? EventNumber::RelayStarted : EventNumber::RelayEnded, {});
  const std::uint64_t malformed = Peers.countMalformed();
  if (malformed == MalformedReported || now - MalformedReportedAt < WarningGap)
    return;
  MalformedReportedAt = now;
  report(EventNumber::PeerDatagramsRefused,
         "count=" + std::to_string(malformed - std::exchange(MalformedReported,
                                                             malformed)));
}

void Gateway::updateServers(core::Millis now) {
  membership::ServerRegistry &servers = RequestDispatcher.servers();
  for (const core::RunnerId &it : servers.tick(now))
    removeServer(it);
  for (const membership::BackendServer &it : servers.takeConfirmed(now))
    registerServer(it);
}

void Gateway::updateEvacuations(core::Millis now) {
  for (const core::FailureDomainId &it :
       RequestDispatcher.updateEvacuations(now))
    report(EventNumber::EvacuationEnded, "domain=" + it.str());
}

void Gateway::driveRollouts(core::Millis now) {
  // The reports of peers show first how far the roll-outs are.
  if (!Synced || now - SyncedAt < PeerReportWait ||
      now - AdvancedAt < AdvanceInterval)
    return;
  for (const rollout::TrialDecision &it :
       RequestDispatcher.dueDecisions(rank(), now)) {
    AdvancedAt = now;
    report(EventNumber::RolloutAdvanced,
           "proposed " + describe(it.Status) + " step=" +
               std::to_string(it.Progress.Step) + " reason=" + it.Reason);
    if (it.Status.Phase == rollout::RolloutPhase::Reverted)
      RequestDispatcher.trials().suspend(it.Status.Service);
    Control.advance(it.Status, it.Progress);
  }
}

std::size_t Gateway::rank() const {
  std::size_t before = 0;
  for (const auto &[name, peer] : Peers.peers())
    before += name < Settings.Instance ? 1 : 0;
  return before;
}

void Gateway::drain() {
  if (Drain.hasBegun())
    return;
  Drain.begin(Clock.monotonic());
  Callers.closeAfterResponses();
  Log.report(EventNumber::ProcessLeaving, {});
}

void Gateway::drainStep(core::Millis now) {
  if (!Drain.closesIdle(now))
    return;
  Callers.acceptWaiting();
  Callers.closeIdle();
  // The answers are written before a later tick ends the process.
  if (Drain.endsRequests(now) && !std::exchange(RequestsEnded, true)) {
    endRequests();
    return;
  }
  if (!Drain.isOver(Callers.unfinished(), now))
    return;
  Control.deregister();
  Callers.stop();
  Readiness.stop();
  Scrapes.stop();
  Snapshots.stop();
  // The next iteration of the loop sends what the calls above have queued.
  boost::asio::post(Loop, [this] { Loop.stop(); });
}

void Gateway::report(EventNumber number, std::string detail) {
  Log.report(
      number,
      {.Request = {}, .Version = {}, .Cause = {}, .Detail = std::move(detail)});
}

} // namespace cowslipridge::gateway
