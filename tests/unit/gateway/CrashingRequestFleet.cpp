#include "CrashingRequestFleet.hpp"

#include "support/ModelCatalogue.hpp"
#include "support/PlainCatalogue.hpp"

#include <algorithm>
#include <iterator>
#include <string>

namespace cowslipridge::support {

namespace {

using core::Millis;

constexpr Millis Step{10};
constexpr Millis ReportInterval{200};
constexpr Millis RunnerRestart{3'000};
constexpr Millis LongestPrefill{400};
/// Time from the beginning of an answer until its runner crashes.
constexpr Millis LongestCrashDelay{130};
constexpr Millis LongestAnswer{4'000};
constexpr Millis LongestPlainAnswer{100};
constexpr int CrashesOfASegment = 5;
constexpr int CrashesOfAContent = 3;
constexpr unsigned MaxAttempts = 3;

constexpr std::uint64_t CrashingSegment = 0xdead;
constexpr std::uint64_t CrashingContent = 0xdead;
constexpr std::uint64_t RelatedSegment = 0xa0;
constexpr std::uint64_t FirstSegments = 6;
constexpr std::uint64_t Subjects = 40;
constexpr std::uint64_t SegmentTokens = 2'000;

std::vector<core::RunnerId> with(std::vector<core::RunnerId> runners,
                                 const core::RunnerId &added) {
  runners.push_back(added);
  return runners;
}

} // namespace

CrashingRequestFleet::CrashingRequestFleet(const CrashLoad &load)
    : Load(load), Random(load.Seed),
      Declared(load.Cause == CrashCause::Content ? plainCatalogue()
                                                 : modelCatalogue()) {
  for (std::size_t n = 0; n < Load.Runners; ++n)
    Runners.insert(core::RunnerId("runner-" + std::to_string(n)));
  for (std::size_t n = 0; n < Load.Gateways; ++n)
    Gateways.push_back(makeGateway(n));
}

std::unique_ptr<gateway::Dispatcher>
CrashingRequestFleet::makeGateway(std::size_t number) {
  config::GatewaySettings settings;
  settings.Instance = core::InstanceId("gateway-" + std::to_string(number));
  settings.Retries = {1, 1'000, Millis(10'000)};
  auto gateway = std::make_unique<gateway::Dispatcher>(settings);
  gateway->setCatalogue(Declared);
  std::set<core::InstanceId> peers;
  for (std::size_t n = 0; n < Load.Gateways; ++n) {
    if (n != number)
      peers.insert(core::InstanceId("gateway-" + std::to_string(n)));
  }
  gateway->setPeers(peers);
  gateway->crashes().setListener([this](const gateway::QuarantineStart &it) {
    Result.Quarantined += it.isOwnDecision() ? 1 : 0;
  });
  for (const core::RunnerId &it : Runners)
    registerRunner(*gateway, it);
  return gateway;
}

void CrashingRequestFleet::registerRunner(gateway::Dispatcher &gateway,
                                          const core::RunnerId &runner) const {
  membership::BackendServer server;
  server.Id = runner;
  server.Service = isPlain() ? PlainService : ModelService;
  server.Host = "127.0.0.1";
  server.Port = 80;
  server.Version = core::VersionId("v1");
  gateway.servers().put(server);
}

gateway::RequestContext CrashingRequestFleet::makeRequest(bool crashing,
                                                          bool related) {
  gateway::RequestContext request;
  request.Caller.Id = core::RequestId("id-" + std::to_string(++Ids));
  request.Caller.AnyModel = true;
  const std::uint64_t first =
      related ? RelatedSegment : 1 + core::uniformIndex(Random, FirstSegments);
  request.Caller.Prompt = {
      {first, SegmentTokens},
      {1'000 + core::uniformIndex(Random, Subjects), SegmentTokens}};
  if (crashing)
    request.Caller.Prompt.insert(request.Caller.Prompt.begin() +
                                     static_cast<std::ptrdiff_t>(Load.Position),
                                 {CrashingSegment, SegmentTokens});
  request.Caller.Prompt.push_back({1'000'000 + Ids, SegmentTokens});
  request.Caller.PromptTokens = SegmentTokens * request.Caller.Prompt.size();
  request.Catalogue = Declared;
  request.Route = &Declared->catalogue().Routes.front();
  request.ArrivedAt = Now;
  request.Deadline = Now + Millis(12'000);
  return request;
}

gateway::RequestContext CrashingRequestFleet::makePlainRequest(bool crashing) {
  gateway::RequestContext request;
  request.Caller.Id = core::RequestId("id-" + std::to_string(++Ids));
  const std::uint64_t sound =
      Load.SoundContents == 0 ? Ids
                              : core::uniformIndex(Random, Load.SoundContents);
  request.Caller.Content = crashing ? CrashingContent : 1'000'000 + sound;
  request.Catalogue = Declared;
  request.Route = &Declared->catalogue().Routes.front();
  request.ArrivedAt = Now;
  request.Deadline = Now + request.Route->Timeout;
  return request;
}

int CrashingRequestFleet::crashesToReact() const {
  return isPlain() ? CrashesOfAContent : CrashesOfASegment;
}

bool CrashingRequestFleet::crashes(
    const gateway::RequestContext &request) const {
  if (isPlain())
    return request.Caller.Content == CrashingContent;
  const auto &prompt = request.Caller.Prompt;
  return std::any_of(prompt.begin(), prompt.end(),
                     [](const auto &it) { return it.Id == CrashingSegment; });
}

bool CrashingRequestFleet::isLate() const {
  return Result.Crashes >= crashesToReact() &&
         Now > *LastCrashAt + ReactionTime;
}

bool CrashingRequestFleet::hasSettled() const {
  return LastCrashAt && Now > *LastCrashAt + ReactionTime * 2;
}

CrashResult CrashingRequestFleet::run() {
  Millis reportAt = Now;
  bool restarted = false;
  while (Now - StartedAt < Load.Duration) {
    const double arrivals =
        Load.RequestsPerSecond * static_cast<double>(Step.count()) / 1'000;
    if (core::uniform(Random) < arrivals)
      arrive();
    step();
    crashRunnersByChance();
    restoreRunners();
    if (Load.RestartAt && !restarted && Now - StartedAt >= *Load.RestartAt) {
      restarted = true;
      restartGateways();
    }
    if (Now >= reportAt) {
      reportAt = Now + ReportInterval;
      exchangeReports();
    }
    Now = Now + Step;
  }
  return Result;
}

void CrashingRequestFleet::arrive() {
  const bool crashing = core::uniform(Random) < Load.CrashingShare;
  // As many sound requests share the first segment of the crashing ones.
  const bool related =
      crashing || isPlain() || core::uniform(Random) < Load.CrashingShare;
  const auto request =
      isPlain() ? makePlainRequest(crashing) : makeRequest(crashing, related);
  const std::size_t gateway = core::uniformIndex(Random, Load.Gateways);
  const std::size_t before = Attempts.size();
  place(gateway, request, {}, gateway::AttemptKind::First);
  if (crashing || !related || !hasSettled())
    return;
  ++Result.Related;
  Result.RelatedPlaced += Attempts.size() > before ? 1 : 0;
}

void CrashingRequestFleet::place(std::size_t gateway,
                                 const gateway::RequestContext &request,
                                 const std::vector<core::RunnerId> &tried,
                                 gateway::AttemptKind kind) {
  const gateway::ModelTier tier =
      isPlain() ? gateway::ModelTier() : gateway::ModelTier(0);
  const auto result = Gateways[gateway]->place(request, tier, tried, kind, Now);
  const auto *placement = std::get_if<gateway::Placement>(&result);
  if (placement == nullptr)
    return;
  if (!Runners.contains(placement->Runner)) {
    Gateways[gateway]->onEnded(placement->Ticket,
                               gateway::AttemptOutcome::Unreachable, Now);
    if (tried.size() < MaxAttempts)
      place(gateway, request, with(tried, placement->Runner),
            tried.empty() ? gateway::AttemptKind::Failover : kind);
    return;
  }
  if (crashes(request) && isLate())
    ++Result.LateArrivals;
  Attempt attempt;
  attempt.Gateway = gateway;
  attempt.Request = request;
  attempt.Placed = *placement;
  attempt.Tried = with(tried, placement->Runner);
  const auto upTo = [&](Millis longest) {
    return Millis(static_cast<std::int64_t>(
        core::uniformIndex(Random, static_cast<std::size_t>(longest.count()))));
  };
  if (isPlain()) {
    attempt.EndsAt = Now + Step + upTo(LongestPlainAnswer);
    attempt.BeginsAt = attempt.EndsAt + (crashes(request) ? Step : Millis());
  } else {
    attempt.BeginsAt = Now + Step + upTo(LongestPrefill);
    attempt.EndsAt = attempt.BeginsAt + Step +
                     upTo(crashes(request) ? LongestCrashDelay : LongestAnswer);
  }
  Attempts.push_back(std::move(attempt));
}

void CrashingRequestFleet::step() {
  std::set<core::RunnerId> crashed;
  for (Attempt &it : Attempts) {
    gateway::Dispatcher &gateway = *Gateways[it.Gateway];
    if (!it.Begun && Now >= it.BeginsAt) {
      it.Begun = true;
      gateway::ResponseAttributes response;
      response.Status = 200;
      gateway.onHead(it.Placed.Ticket, response, Now);
    }
    if (it.Begun && !crashes(it.Request))
      gateway.onEvents(it.Placed.Ticket, 1, Now);
    if (Now < it.EndsAt)
      continue;
    if (crashes(it.Request))
      crashed.insert(it.Placed.Runner);
    else
      gateway.onEnded(it.Placed.Ticket, gateway::AttemptOutcome::Served, Now);
  }
  std::erase_if(Attempts, [&](const Attempt &it) {
    return Now >= it.EndsAt && !crashes(it.Request);
  });
  for (const core::RunnerId &it : crashed)
    crash(it);
  for (const auto &it : Gateways)
    it->tick(Now);
}

void CrashingRequestFleet::crash(const core::RunnerId &runner) {
  if (Runners.erase(runner) == 0)
    return;
  ++Result.Crashes;
  if (Result.Crashes <= crashesToReact())
    LastCrashAt = Now;
  Returning.emplace(runner, Now + RunnerRestart);
  std::vector<Attempt> broken;
  std::copy_if(Attempts.begin(), Attempts.end(), std::back_inserter(broken),
               [&](const Attempt &it) { return it.Placed.Runner == runner; });
  std::erase_if(Attempts,
                [&](const Attempt &it) { return it.Placed.Runner == runner; });
  for (const Attempt &it : broken)
    Gateways[it.Gateway]->onEnded(it.Placed.Ticket,
                                  gateway::AttemptOutcome::Broken, Now);
  for (const Attempt &it : broken) {
    if (it.Tried.size() < MaxAttempts)
      place(it.Gateway, it.Request, it.Tried, gateway::AttemptKind::Retry);
  }
}

void CrashingRequestFleet::crashRunnersByChance() {
  if (!Load.CrashInterval || Runners.empty() ||
      (Now - StartedAt).count() % Load.CrashInterval->count() != 0)
    return;
  auto it = Runners.begin();
  std::advance(it, core::uniformIndex(Random, Runners.size()));
  crash(*it);
}

void CrashingRequestFleet::restoreRunners() {
  for (auto it = Returning.begin(); it != Returning.end();) {
    if (Now < it->second) {
      ++it;
      continue;
    }
    const core::RunnerId fresh("fresh-" + std::to_string(++Incarnations));
    Runners.insert(fresh);
    for (const auto &gateway : Gateways) {
      gateway->servers().remove(it->first, Now);
      gateway->removeServer(it->first);
      registerRunner(*gateway, fresh);
    }
    it = Returning.erase(it);
  }
}

void CrashingRequestFleet::restartGateways() {
  Attempts.clear();
  for (std::size_t n = 0; n < Load.Gateways; ++n)
    Gateways[n] = makeGateway(n);
}

void CrashingRequestFleet::exchangeReports() {
  for (const auto &from : Gateways) {
    const gateway::PeerReport report = from->report(Now);
    for (const auto &to : Gateways) {
      if (to != from)
        to->onPeerReport(report, Now);
    }
    from->onReportSent();
  }
}

} // namespace cowslipridge::support
