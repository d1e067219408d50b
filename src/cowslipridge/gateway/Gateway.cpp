#include "cowslipridge/gateway/Gateway.hpp"

#include "cowslipridge/core/Chrono.hpp"
#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/gateway/EventDetails.hpp"

#include <boost/asio/ip/address.hpp>

#include <utility>

namespace cowslipridge::gateway {

namespace {

using observe::EventNumber;

constexpr core::Millis TickInterval{50};
constexpr core::Millis ReportInterval{200};
/// Between two attempts to write a roll-out's next record, for the change to
/// come back by the watch.
constexpr core::Millis AdvancePause{500};
/// A store that is not heard for so long after the start counts as away.
constexpr core::Millis StoreAnswersWithin{300};
/// For callers that meet a gateway which can't serve them yet or any more.
constexpr core::Millis ShortReturn{200};
/// The same while the store is away: outages last for seconds.
constexpr core::Millis OutageReturn{1'500};

constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;

http1::Endpoint toEndpoint(const config::SocketAddress &address) {
  return {boost::asio::ip::make_address(address.Host), address.Port};
}

} // namespace

Gateway::Gateway(boost::asio::io_context &loop, const core::Clock &clock,
                 const config::GatewaySettings &settings,
                 const Translator &translator, ControlPlane &control,
                 observe::EventLog &log, observe::Metrics &metrics)
    : Loop(loop), Clock(clock), Settings(settings), Translation(translator),
      Control(control), Log(log), Counts(metrics), Decisions(settings),
      Runners(loop, clock, {}), Flows{loop,    clock, translator, Decisions,
                                      Runners, log,   metrics},
      Callers(loop, clock, [this](const auto &it) { onRequest(it); }),
      Readiness(loop, clock, [this](const auto &it) { onReadiness(*it); }),
      Scrapes(loop, clock, [this](const auto &it) { onScrape(*it); }),
      Peers(loop, clock, Decisions),
      Snapshots(loop, clock, control,
                [this](const http1::Endpoint &it) {
                  report(EventNumber::PeerSnapshotTaken,
                         "from=" + it.address().to_string() + ":" +
                             std::to_string(it.port()));
                }),
      Gauges(metrics), Ticker(loop), Drain(settings.GracePeriod) {
  Decisions.onEjections(
      [this](const limits::EjectionChange &change, SendOutcome outcome) {
        report(change.isEjected() ? EventNumber::RunnerEjected
                                  : EventNumber::RunnerReadmitted,
               describe(change, outcome));
      });
}

void Gateway::start() {
  Readiness.listen(toEndpoint(Settings.Readiness));
  Callers.listen(toEndpoint(Settings.Callers));
  if (Settings.Metrics)
    Scrapes.listen(toEndpoint(*Settings.Metrics));
  Peers.listen(Settings.Peers);
  Snapshots.listen(toEndpoint(Settings.Peers));
  Peers.onPresence([this](const core::InstanceId &peer, bool isHeard) {
    report(isHeard ? EventNumber::PeerHeard : EventNumber::PeerSilent,
           "peer=" + peer.str());
  });
  Peers.onStranger([this](const auto &sender) {
    if (mayAskPeers())
      Snapshots.ask({sender.address(), sender.port()});
  });
  StartedAt = Clock.monotonic();
  Control.start(
      {Settings.Instance, Settings.Peers.Host, Settings.Peers.Port},
      [this](const ControlEvent &it) { onControl(it); },
      [this] { Synced = true; });
  tickLater();
}

// A store that is only slow or busy goes first: it knows better.
bool Gateway::mayAskPeers() const {
  const bool silent =
      !Control.wasHeard() && Clock.monotonic() - StartedAt > StoreAnswersWithin;
  return !Synced && (StoreAwaySince || silent);
}

bool Gateway::isReady() const {
  return Synced && Decisions.catalogue() && !Drain.hasBegun();
}

void Gateway::onReadiness(http1::Exchange &exchange) {
  http1::ResponseHead head;
  head.Status = NotFound;
  if (exchange.head().Target == Translation.readinessPath())
    head.Status = isReady() ? 200 : Unavailable;
  exchange.respond(std::move(head), {});
}

void Gateway::onScrape(http1::Exchange &exchange) {
  Gauges.update({Decisions, Callers.inFlight(), Callers.connections(),
                 Peers.heard(), StoreAwaySince, Clock.monotonic()});
  http1::ResponseHead head;
  head.Fields.add("Content-Type", observe::ScrapeMediaType);
  exchange.respond(std::move(head), Counts.scrape());
}

void Gateway::onRequest(const std::shared_ptr<http1::Exchange> &exchange) {
  const auto caller = Translation.readRequest(exchange->head());
  if (!caller) {
    refuse(*exchange, {}, {BadRequest, "malformed", std::nullopt});
    return;
  }
  const auto resolved = resolve(*caller, exchange->readAt());
  std::visit(core::Overloaded{
                 [&](const Refusal &it) { refuse(*exchange, caller->Id, it); },
                 [&](const RequestFacts &it) {
                   std::make_shared<RequestFlow>(Flows, exchange, it)->start();
                 }},
             resolved);
}

std::variant<RequestFacts, Refusal>
Gateway::resolve(const CallerRequest &caller, core::Millis readAt) const {
  if (!Synced || !Decisions.catalogue())
    return Refusal{Unavailable, "no configuration yet",
                   StoreAwaySince ? OutageReturn : ShortReturn};
  RequestFacts facts;
  facts.Caller = caller;
  facts.Catalogue = Decisions.catalogue();
  facts.Route = facts.Catalogue->route(caller.Host, caller.Path);
  if (facts.Route == nullptr)
    return Refusal{NotFound, "no route", std::nullopt};
  if (!facts.Route->Public && facts.Catalogue->catalogue().Organisations) {
    if (caller.ApiKey)
      facts.Organisation = facts.Catalogue->holder(*caller.ApiKey);
    if (facts.Organisation == nullptr)
      return Refusal{Unauthorized, "unknown key", std::nullopt};
  }
  facts.ArrivedAt = readAt;
  facts.Deadline =
      readAt + std::min(facts.Route->Timeout,
                        caller.Remaining.value_or(facts.Route->Timeout));
  const core::Millis now = Clock.monotonic();
  if (!Drain.takes(facts, now))
    return Refusal{Unavailable, "leaving",
                   Peers.returnIn(Drain.endsIn(now).value_or(core::Millis()))};
  return facts;
}

void Gateway::refuse(http1::Exchange &exchange, const core::RequestId &request,
                     const Refusal &refusal) {
  Log.report(EventNumber::RequestRefused,
             {.Request = request,
              .Version = {},
              .Cause = {},
              .Detail = "status=" + std::to_string(refusal.Status) + " " +
                        refusal.Reason});
  Counts.add(observe::CounterName::Requests,
             {.Service = {}, .Version = {}, .Outcome = "refused"});
  exchange.respond(
      Translation.ownAnswer(refusal.Status, request, refusal.RetryAfter), {});
}

void Gateway::onControl(const ControlEvent &event) {
  std::visit([this](const auto &it) { on(it); }, event);
}

void Gateway::on(const CatalogueChanged &event) {
  const catalogue::Catalogue &declared = event.Catalogue->catalogue();
  if (Decisions.catalogue() &&
      declared.Version < Decisions.catalogue()->catalogue().Version) {
    report(EventNumber::ConfigurationRefused,
           "older than the one in force: " +
               std::to_string(declared.Version.value()));
    return;
  }
  const catalogue::CataloguePtr before = Decisions.catalogue();
  Decisions.setCatalogue(event.Catalogue);
  Log.setGeneration(declared.Version);
  const catalogue::CallerLimits &limits = declared.Limits;
  Callers.setLimits({{limits.MaxHeaderBytes, limits.MaxBodyBytes},
                     limits.HeaderTimeout,
                     limits.IdleTimeout});
  report(EventNumber::ConfigurationInForce,
         describe(declared, before ? &before->catalogue() : nullptr));
}

void Gateway::on(const CatalogueRefused &event) {
  report(EventNumber::ConfigurationRefused, event.Problem);
}

void Gateway::on(const EntryRefused &event) {
  report(EventNumber::EntryRefused, "key=" + event.Key);
}

void Gateway::on(const ServerChanged &event) {
  noteServer(event.Server);
  Decisions.servers().put(event.Server);
}

void Gateway::noteServer(const membership::BackendServer &server) {
  const membership::BackendServer *known = Decisions.servers().find(server.Id);
  // It starts anew under its id, and knows nothing of before.
  if (known != nullptr && known->StartedAt != server.StartedAt)
    Decisions.forgetServer(server.Id);
  report(server.Draining ? EventNumber::RunnerDraining
                         : EventNumber::RunnerRegistered,
         describe(server));
}

void Gateway::on(const ServerRemoved &event) {
  if (Decisions.servers().remove(event.Server, Clock.monotonic()))
    dropServer(event.Server);
}

void Gateway::on(const ServersListed &event) {
  for (const membership::BackendServer &it : event.Servers)
    noteServer(it);
  for (const core::RunnerId &it :
       Decisions.servers().replaceAll(event.Servers, Clock.monotonic()))
    dropServer(it);
}

void Gateway::dropServer(const core::RunnerId &runner) {
  Decisions.forgetServer(runner);
  report(EventNumber::RunnerGone, "runner=" + runner.str());
}

void Gateway::on(const RolloutOrdered &event) {
  Decisions.trials().onOrder(event.Order, Clock.monotonic());
  report(EventNumber::RolloutAdvanced, "ordered " + describe(event.Order));
}

void Gateway::on(const RolloutWithdrawn &event) {
  Decisions.trials().onWithdrawn(event.Service);
}

void Gateway::on(const RolloutStatusChanged &event) {
  Decisions.trials().onStatus(event.Status, Clock.monotonic());
  const bool ended =
      event.Status.Verdict != rollout::RolloutVerdict::InProgress;
  report(ended ? EventNumber::RolloutEnded : EventNumber::RolloutAdvanced,
         describe(event.Status));
}

void Gateway::on(const RolloutProgressChanged &event) {
  Decisions.trials().onProgress(event.Progress, Clock.monotonic());
  report(EventNumber::RolloutAdvanced, describe(event.Progress));
}

void Gateway::on(const PeerChanged &event) {
  Peers.put(event.Gateway);
  report(EventNumber::PeerRegistered, "peer=" + event.Gateway.Name.str());
}

void Gateway::on(const PeerRemoved &event) {
  Peers.remove(event.Name);
  report(EventNumber::PeerGone, "peer=" + event.Name.str());
}

void Gateway::on(const ControlPlaneLost &event) {
  Decisions.servers().storeLost();
  StoreAwaySince = Clock.monotonic();
  report(EventNumber::StoreUnavailable, event.Reason);
}

void Gateway::on(const ControlPlaneReturned & /*event*/) {
  Decisions.servers().storeReturned(Clock.monotonic());
  StoreAwaySince.reset();
  report(EventNumber::StoreAvailable, "");
}

void Gateway::tickLater() {
  Ticker.expires_after(core::toChrono(TickInterval));
  Ticker.async_wait([this](const auto &ec) {
    if (!ec)
      tick();
  });
}

void Gateway::tick() {
  const core::Millis now = Clock.monotonic();
  for (const core::RunnerId &it : Decisions.servers().tick(now))
    dropServer(it);
  Decisions.tick(now);
  Peers.expire(now);
  if (now - ReportedAt >= ReportInterval) {
    ReportedAt = now;
    Peers.sendReports(Drain.endsIn(now));
  }
  driveRollouts(now);
  if (isReady() && !std::exchange(ReadyReported, true))
    Log.report(EventNumber::ProcessReady, {});
  drainStep(now);
  tickLater();
}

void Gateway::driveRollouts(core::Millis now) {
  if (!Synced || now - AdvancedAt < AdvancePause)
    return;
  for (const rollout::TrialDecision &it : Decisions.dueDecisions(rank(), now)) {
    AdvancedAt = now;
    report(EventNumber::RolloutAdvanced,
           "proposed " + describe(it.Status) + " step=" +
               std::to_string(it.Progress.Step) + " reason=" + it.Reason);
    Control.advance(it.Status, it.Progress);
  }
}

std::size_t Gateway::rank() const {
  std::size_t before = 0;
  for (const auto &[name, peer] : Peers.peers())
    before += name < Settings.Instance ? 1 : 0;
  return before;
}

void Gateway::leave() {
  if (Drain.hasBegun())
    return;
  Drain.begin(Clock.monotonic());
  Callers.closeAfterResponses();
  Log.report(EventNumber::ProcessLeaving, {});
}

void Gateway::drainStep(core::Millis now) {
  if (Drain.closesIdle(now))
    Callers.closeIdle();
  if (!Drain.isOver(Callers.inFlight(), now))
    return;
  Control.leave();
  Callers.stop();
  Readiness.stop();
  Scrapes.stop();
  Snapshots.stop();
  // What the calls above began is sent by the next turn of the loop.
  boost::asio::post(Loop, [this] { Loop.stop(); });
}

void Gateway::report(EventNumber number, std::string detail) {
  Log.report(
      number,
      {.Request = {}, .Version = {}, .Cause = {}, .Detail = std::move(detail)});
}

} // namespace cowslipridge::gateway
