#include "cowslipridge/gateway/Dispatcher.hpp"

#include "cowslipridge/gateway/RequestTraits.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cowslipridge::gateway {

namespace {

/// Prompt blocks that are remembered; several times what runners keep.
constexpr std::size_t MaxCacheBlocks = 20'000;
/// Patience with a runner that streams: times the forecast.
constexpr std::int64_t PatienceFactor = 4;
/// Part of a plain request's time after which a silent runner is given up.
constexpr std::int64_t PlainPatienceParts = 3;
constexpr std::size_t LeastConnections = 4;

} // namespace

Dispatcher::Dispatcher(const config::GatewaySettings &settings)
    : Settings(settings), Trials(settings.Exposure.Fraction),
      Cache(MaxCacheBlocks),
      Selection(settings, {Servers, Trials, Ejections, Forecast, Cache}) {}

void Dispatcher::setCatalogue(catalogue::CataloguePtr catalogue) {
  Catalogue = std::move(catalogue);
  for (const catalogue::Service &service : Catalogue->catalogue().Services) {
    if (!service.Inference)
      continue;
    double most = 0;
    for (const catalogue::Model &it : service.Inference->Models)
      most = std::max(most, it.Cost);
    for (const catalogue::Model &it : service.Inference->Models)
      Forecast.registerModel(it.Name, most > 0 ? it.Cost / most : 1);
  }
}

PlacementResult Dispatcher::place(const RequestFacts &facts, ModelTier tier,
                                  const std::vector<core::RunnerId> &excluded,
                                  SendKind kind, core::Millis now) {
  const auto candidate = Selection.choose(facts, tier, excluded, now);
  if (!candidate)
    return NoPlacement{"no runner", EarliestReturn};
  const core::Millis left = facts.Deadline - now;
  if (candidate->FirstToken >= left && !facts.Caller.Prompt.empty())
    return NoPlacement{"no runner answers in time",
                       std::max(EarliestReturn, candidate->FirstToken - left)};
  limits::RetryWindow &retries = budget(serviceOf(facts));
  if (kind == SendKind::First)
    retries.onFirst(now);
  const bool isRepeat = kind == SendKind::Repeat || kind == SendKind::Escalate;
  if (isRepeat && !retries.tryTake(now))
    return NoPlacement{"the budget for repeats is spent", EarliestReturn};
  Placement placement = commit(*candidate, tier, facts, now);
  placement.Kind = kind;
  return placement;
}

Placement Dispatcher::describe(const RunnerSelection::Candidate &candidate,
                               ModelTier tier, const RequestFacts &facts,
                               core::Millis now) {
  const membership::BackendServer &server = *candidate.Server;
  const bool isStream = catalogue::isStream(facts.Route->Kind);
  Placement placement;
  placement.Ticket = NextTicket++;
  placement.Service = serviceOf(facts);
  placement.Runner = server.Id;
  placement.Version = server.Version;
  placement.Host = server.Host;
  placement.Port = server.Port;
  placement.Tier = tier;
  placement.PredictedFirstByte = candidate.FirstToken;
  placement.UncachedTokens = candidate.UncachedTokens;
  placement.PeersAge = Forecast.maxRemoteLoadAge(now);
  placement.Patience =
      isStream
          ? std::max(LeastStreamPatience, candidate.FirstToken * PatienceFactor)
          : (facts.Deadline - now) / PlainPatienceParts;
  const catalogue::Service *declared =
      facts.Catalogue->service(placement.Service);
  const std::size_t limit =
      declared != nullptr && declared->ConnectionLimit != 0
          ? declared->ConnectionLimit
          : std::numeric_limits<std::size_t>::max();
  placement.MaxConnections = std::max(LeastConnections, limit / Gateways);
  return placement;
}

Placement Dispatcher::commit(const RunnerSelection::Candidate &candidate,
                             ModelTier tier, const RequestFacts &facts,
                             core::Millis now) {
  Placement placement = describe(candidate, tier, facts, now);
  const std::string model = modelOf(facts, tier);
  Forecast.onAttemptSent(placement.Ticket, placement.Runner, model,
                         candidate.UncachedTokens, now);
  Cache.recordPrompt(blocksOf(facts.Caller, model), placement.Runner);
  Selection.taken(facts, tier, candidate, now);
  ++OwnEvidence[{placement.Service, placement.Version, facts.Route->Name}].Sent;

  Sending sending;
  sending.Service = placement.Service;
  sending.Version = placement.Version;
  sending.Runner = placement.Runner;
  sending.Route = facts.Route->Name;
  sending.IsStream = catalogue::isStream(facts.Route->Kind);
  sending.SentAt = now;
  sending.Predicted = candidate.FirstToken;
  Sendings.emplace(placement.Ticket, std::move(sending));
  return placement;
}

ModelTier Dispatcher::firstTier(const RequestFacts &facts,
                                core::Millis /*now*/) {
  if (!facts.Caller.AnyModel || facts.Route->Models.empty())
    return std::nullopt;
  return 0;
}

TierChoice Dispatcher::betterTier(const RequestFacts &facts, std::size_t tier,
                                  int confidence, core::Millis now) {
  const std::size_t largest = facts.Route->Models.size() - 1;
  TierChoice choice{
      tier, tier < largest && route::isLowConfidence(confidence), {}};
  if (tier < largest)
    choice.Larger = Selection.forecast(facts, largest, now);
  if (!choice.Larger)
    return choice;
  route::EscalationContext ladder;
  ladder.Confidence = confidence;
  ladder.Target = facts.Route->TargetLatency - (now - facts.ArrivedAt);
  ladder.Deadline = facts.Deadline - now;
  ladder.Largest = *choice.Larger;
  if (route::shouldEscalate(ladder))
    choice.Tier = largest;
  return choice;
}

void Dispatcher::onFirstByte(std::uint64_t ticket, core::Millis now) {
  Forecast.onFirstToken(ticket, now);
  const auto it = Sendings.find(ticket);
  if (it == Sendings.end() || it->second.Answered)
    return;
  Sending &sending = it->second;
  sending.Answered = true;
  if (!sending.IsStream)
    return;
  rollout::AnswerCounts &counts =
      OwnEvidence[{sending.Service, sending.Version, sending.Route}];
  ++counts.Timed;
  const auto elapsed = static_cast<double>((now - sending.SentAt).count()) + 1;
  const auto predicted = static_cast<double>(sending.Predicted.count()) + 1;
  counts.LogSlowness += std::log(elapsed / predicted);
}

void Dispatcher::onEvents(std::uint64_t ticket, unsigned events,
                          core::Millis now) {
  Forecast.onStreamEvents(ticket, events, now);
}

void Dispatcher::onEnded(std::uint64_t ticket, SendOutcome outcome,
                         core::Millis now) {
  Forecast.onAttemptEnded(ticket);
  const auto it = Sendings.find(ticket);
  if (it == Sendings.end())
    return;
  const Sending sending = it->second;
  Sendings.erase(it);
  rollout::AnswerCounts &counts =
      OwnEvidence[{sending.Service, sending.Version, sending.Route}];
  switch (outcome) {
  case SendOutcome::Served:
    noteEjection(Ejections.onSuccess(sending.Runner), outcome);
    ++counts.Judged;
    break;
  case SendOutcome::Unreachable:
    noteEjection(Ejections.onUnreachable(sending.Runner, now), outcome);
    break;
  case SendOutcome::FailedAnswer:
    noteEjection(Ejections.onFailure(sending.Runner, now), outcome);
    ++counts.Judged;
    ++counts.Failed;
    break;
  case SendOutcome::Broken:
  case SendOutcome::Silent:
    noteEjection(Ejections.onFailure(sending.Runner, now), outcome);
    ++counts.Judged;
    ++counts.Broken;
    break;
  case SendOutcome::Rejected:
    noteEjection(Ejections.onFailure(sending.Runner, now), outcome);
    break;
  case SendOutcome::Dropped:
    break;
  }
}

void Dispatcher::noteEjection(
    const std::optional<limits::EjectionChange> &change, SendOutcome outcome) {
  if (change && HearsEjections)
    HearsEjections(*change, outcome);
}

limits::RetryWindow &Dispatcher::budget(const core::ServiceId &service) {
  const auto known = Budgets.find(service);
  if (known != Budgets.end())
    return known->second;
  limits::RetryWindow window({Settings.Retries.PerRequest,
                              Settings.Retries.Fixed, Settings.Retries.Window});
  window.setMembers(Gateways);
  return Budgets.emplace(service, std::move(window)).first->second;
}

void Dispatcher::forgetServer(const core::RunnerId &runner) {
  Cache.removeRunner(runner);
  Forecast.removeRunner(runner);
  Ejections.removeRunner(runner);
}

void Dispatcher::setPeers(std::size_t others) {
  Gateways = others + 1;
  for (auto &[service, window] : Budgets)
    window.setMembers(Gateways);
}

void Dispatcher::onPeerReport(const PeerReport &report, core::Millis now) {
  Selection.keepSessions(report.StayingSessions, now);
  Forecast.setRemoteLoads(report.Gateway, report.Loads, now);
  PeerEvidence.insert_or_assign(report.Gateway, report.Evidence);
}

void Dispatcher::forgetPeer(const core::InstanceId &peer) {
  // What it has seen stays true; what it has under way does not.
  Forecast.removeRemoteLoads(peer);
}

PeerReport Dispatcher::report(core::Millis now) const {
  PeerReport report;
  report.Gateway = Settings.Instance;
  report.Loads = Forecast.ownLoads();
  report.StayingSessions = Selection.stayingSessions(now);
  for (const core::ServiceId &service : Trials.underWay()) {
    for (const auto &[key, counts] : OwnEvidence) {
      if (key.Service == service)
        report.Evidence.emplace(key, counts);
    }
  }
  return report;
}

rollout::EvidenceTable Dispatcher::pooledEvidence() const {
  rollout::EvidenceTable pooled = OwnEvidence;
  for (const auto &[peer, evidence] : PeerEvidence) {
    for (const auto &[key, counts] : evidence)
      pooled[key] += counts;
  }
  return pooled;
}

std::vector<rollout::TrialDecision>
Dispatcher::dueDecisions(std::size_t rank, core::Millis now) const {
  std::vector<rollout::TrialDecision> decisions;
  const auto services = Trials.underWay();
  if (services.empty())
    return decisions;
  rollout::TrialControl::Observation observation;
  observation.Evidence = pooledEvidence();
  observation.Rank = rank;
  for (const core::ServiceId &service : services) {
    const core::VersionId target =
        Trials.targetUnderWay(service).value_or(core::VersionId());
    observation.StableInFlight = 0;
    observation.TargetServes = false;
    for (const auto &[id, server] : Servers.all()) {
      if (server.Service != service)
        continue;
      const route::ServerLoad load = Forecast.load(id);
      if (server.Version != target)
        observation.StableInFlight += load.Waiting + load.Running;
      else if (!server.Draining)
        observation.TargetServes = true;
    }
    if (auto decision = Trials.next(service, observation, now))
      decisions.push_back(std::move(*decision));
  }
  return decisions;
}

std::size_t Dispatcher::ejected(core::Millis now) const {
  const auto &all = Servers.all();
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](const auto &it) {
        return Ejections.isEjected(it.first, now);
      }));
}

std::map<core::ServiceId, unsigned> Dispatcher::waiting() const {
  std::map<core::ServiceId, unsigned> counts;
  for (const auto &[service, window] : Budgets)
    counts.emplace(service, 0);
  for (const auto &[ticket, sending] : Sendings)
    counts[sending.Service] += sending.Answered ? 0 : 1;
  return counts;
}

std::map<core::ServiceId, double> Dispatcher::retriesLeft(core::Millis now) {
  std::map<core::ServiceId, double> left;
  for (auto &[service, window] : Budgets)
    left.emplace(service, window.left(now));
  return left;
}

void Dispatcher::tick(core::Millis now) { Selection.tick(now); }

} // namespace cowslipridge::gateway
