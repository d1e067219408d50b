#include "cowslipridge/gateway/Dispatcher.hpp"

#include "cowslipridge/gateway/RequestTraits.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cowslipridge::gateway {

namespace {

/// Capacity of the prompt cache model in blocks: several times what runners
/// keep.
constexpr std::size_t MaxCacheBlocks = 20'000;
/// Bounds the number of prompts in one report, so that it fits a datagram.
constexpr std::size_t MaxReportedPrompts = 60;
/// First-byte timeout of a stream, as a multiple of the forecast.
constexpr std::int64_t StreamTimeoutFactor = 4;
/// First-byte timeout of a plain request: the time until its deadline, divided
/// by this.
constexpr std::int64_t PlainTimeoutDivisor = 3;
/// Lower bound on this gateway's share of a runner's connection limit.
constexpr std::size_t MinConnectionsPerRunner = 4;

std::string describe(const limits::RetryWindowState &state) {
  return "requests=" + std::to_string(state.FirstAttempts) +
         " repeats=" + std::to_string(state.Retries) +
         " members=" + std::to_string(state.Members);
}

} // namespace

Dispatcher::Dispatcher(const config::GatewaySettings &settings)
    : Settings(settings),
      Trials({settings.Exposure.Fraction, settings.Exposure.Fixed}),
      Cache(MaxCacheBlocks),
      Eligibility(settings,
                  {Servers, Evacuated, Trials, Ejections, RateLimits, Backoff}),
      Selection(settings, {Eligibility, Rejections, Forecast, Cache}),
      Escalations(Selection) {}

void Dispatcher::setCatalogue(catalogue::CataloguePtr catalogue) {
  const bool isFirst = Catalogue == nullptr;
  Catalogue = std::move(catalogue);
  // The cold phases were unknown at the first listing.
  if (isFirst && StartedBesidePeersAt)
    assumeAllCold(*StartedBesidePeersAt);
  for (const catalogue::Service &service : Catalogue->catalogue().Services) {
    if (!service.Inference)
      continue;
    double maxCost = 0;
    for (const catalogue::Model &it : service.Inference->Models)
      maxCost = std::max(maxCost, it.Cost);
    for (const catalogue::Model &it : service.Inference->Models)
      Forecast.registerModel(it.Name, maxCost > 0 ? it.Cost / maxCost : 1);
  }
}

core::Generation Dispatcher::generation() const {
  return Catalogue ? Catalogue->catalogue().Version : core::Generation();
}

PlacementResult Dispatcher::place(const RequestContext &request, ModelTier tier,
                                  const std::vector<core::RunnerId> &excluded,
                                  AttemptKind kind, core::Millis now) {
  if (auto refused =
          Crashes.refusal(request.Caller, serviceOf(request), kind, now))
    return *std::move(refused);
  const auto candidate = Selection.choose(request, tier, excluded, now);
  if (!candidate)
    return NoPlacement{"no runner is available", retryAfter(request, now)};
  const core::Millis remaining = request.Deadline - now;
  if (candidate->FirstToken >= remaining && !request.Caller.Prompt.empty())
    return NoPlacement{
        "no runner answers in time",
        std::max(MinRetryAfter, candidate->FirstToken - remaining)};
  if (kind == AttemptKind::First)
    budget(serviceOf(request)).onFirstAttempt(now);
  if (isRetry(kind)) {
    limits::Retry retry{NextTicket, std::nullopt};
    if (kind == AttemptKind::RetryUnanswered && !excluded.empty())
      retry.Unanswered = excluded.back();
    if (auto refused = chargeRetry(request, retry, now))
      return *std::move(refused);
  }
  OrderedAttempt ordered{kind, candidate->FirstToken, {}, {}};
  if (Settings.AdmissionOrder)
    ordered.Waiting = waitAt(*candidate, modelOf(request, tier));
  Placement placement = commit(*candidate, tier, request, now);
  placement.Kind = kind;
  placement.Urgency = rankOf(request);
  if (Settings.AdmissionOrder) {
    ordered.LoadAge = placement.PeerLoadAge;
    placement.Urgency = Order.onSent(placement.Ticket, request, ordered, now);
  }
  return placement;
}

std::optional<NoPlacement>
Dispatcher::chargeRetry(const RequestContext &request,
                        const limits::Retry &retry, core::Millis now) {
  limits::RetryWindow &retries = budget(serviceOf(request));
  const auto refuse = [&](const std::string &reason) {
    return NoPlacement{reason + ", " + describe(retries.state(now)),
                       MinRetryAfter};
  };
  // Callers that send their ids again leave retries to the others.
  if (request.Earlier.HasArrived && retries.isHalfUsed(now))
    return refuse("half of the retry budget is used");
  if (!retries.tryAcquire(retry, now))
    return refuse("the retry budget is exhausted");
  return std::nullopt;
}

core::Millis Dispatcher::waitAt(const RunnerSelection::Candidate &candidate,
                                const std::string &model) const {
  const core::RunnerId &runner = candidate.Server->Id;
  return Forecast.timeToFirstToken(runner, model, candidate.UncachedTokens) -
         Forecast.idleTimeToFirstToken(runner, model, candidate.UncachedTokens);
}

std::optional<NoPlacement> Dispatcher::refusal(const RequestContext &request,
                                               core::Millis now) const {
  return Crashes.refusal(request.Caller, serviceOf(request), AttemptKind::First,
                         now);
}

Placement Dispatcher::makePlacement(const RunnerSelection::Candidate &candidate,
                                    ModelTier tier,
                                    const RequestContext &request,
                                    core::Millis now) {
  const membership::BackendServer &server = *candidate.Server;
  const bool isStream = catalogue::isStream(request.Route->Kind);
  Placement placement;
  placement.Ticket = NextTicket++;
  placement.Service = serviceOf(request);
  placement.Runner = server.Id;
  placement.Version = server.Version;
  placement.Host = server.Host;
  placement.Port = server.Port;
  placement.Tier = tier;
  placement.PredictedFirstByte = candidate.FirstToken;
  placement.UncachedTokens = candidate.UncachedTokens;
  placement.FetchedTokens = candidate.FetchedTokens;
  if (candidate.PrefixSource != nullptr)
    placement.PrefixSource = candidate.PrefixSource->Host + ":" +
                             std::to_string(candidate.PrefixSource->Port);
  placement.PeerLoadAge = Forecast.maxRemoteLoadAge(now);
  placement.RunnerSlowness = Forecast.slowness(server.Id);
  placement.RunnerLoad = Forecast.load(server.Id).requests();
  placement.FirstByteTimeout =
      isStream ? std::max(MinStreamIdleTimeout,
                          candidate.FirstToken * StreamTimeoutFactor)
               : (request.Deadline - now) / PlainTimeoutDivisor;
  const catalogue::Service *declared =
      request.Catalogue->service(placement.Service);
  const std::size_t limit =
      declared != nullptr && declared->ConnectionLimit != 0
          ? declared->ConnectionLimit
          : std::numeric_limits<std::size_t>::max();
  placement.MaxConnections =
      std::max(MinConnectionsPerRunner, limit / Gateways);
  return placement;
}

Placement Dispatcher::commit(const RunnerSelection::Candidate &candidate,
                             ModelTier tier, const RequestContext &request,
                             core::Millis now) {
  Placement placement = makePlacement(candidate, tier, request, now);
  const std::string model = modelOf(request, tier);
  Forecast.onAttemptSent(placement.Ticket, placement.Runner, model,
                         candidate.UncachedTokens, now);
  recordPrompt(blocksOf(request.Caller, model), placement.Runner);
  Crashes.onSent(placement.Ticket, placement.Service, placement.Runner,
                 request.Caller, now);
  RateLimits.onSent(placement.Runner, now);
  Selection.onSelected(request, tier, candidate, now);
  Eligibility.onSelected(request, *candidate.Server, now);

  ActiveAttempt attempt;
  attempt.Service = placement.Service;
  attempt.Version = placement.Version;
  attempt.Runner = placement.Runner;
  attempt.RunnerStartedAt = candidate.Server->StartedAt;
  attempt.Route = request.Route->Name;
  attempt.IsStream = catalogue::isStream(request.Route->Kind);
  attempt.SentAt = now;
  // What is learnt of a runner is left out: of a version on trial, less is
  // known.
  attempt.Predicted = core::Millis(
      std::llround(static_cast<double>(candidate.FirstToken.count()) /
                   std::max(1.0, placement.RunnerSlowness)));
  attempt.OtherRequests = placement.RunnerLoad;
  rollout::AnswerCounts sent;
  sent.Sent = 1;
  Evidence.record(attempt.evidenceKey(), sent, now);
  ActiveAttempts.emplace(placement.Ticket, std::move(attempt));
  return placement;
}

void Dispatcher::recordPrompt(const std::vector<route::CacheBlock> &prompt,
                              const core::RunnerId &runner) {
  Cache.recordPrompt(prompt, runner);
  // The last block belongs to this request alone.
  if (prompt.size() > 1 && NewPrompts.size() < MaxReportedPrompts)
    NewPrompts.push_back({prompt[prompt.size() - 2].Hash, runner});
}

ModelTier Dispatcher::firstTier(const RequestContext &request,
                                core::Millis /*now*/) {
  return EscalationPolicy::firstTier(request);
}

EscalationDecision Dispatcher::decideEscalation(const RequestContext &request,
                                                std::size_t tier,
                                                int confidence,
                                                core::Millis now) {
  return Escalations.decide(request, tier, confidence, now);
}

core::Millis Dispatcher::retryAfter(const RequestContext &request,
                                    core::Millis now) const {
  return std::max(MinRetryAfter, Eligibility.timeUntilAvailable(request, now));
}

limits::RetryWindow &Dispatcher::budget(const core::ServiceId &service) {
  const auto known = Budgets.find(service);
  if (known != Budgets.end())
    return known->second;
  limits::RetryWindow window({Settings.Retries.PerRequest,
                              Settings.Retries.Fixed, Settings.Retries.Window},
                             Registered);
  window.setMembers(Gateways);
  return Budgets.emplace(service, std::move(window)).first->second;
}

void Dispatcher::removeServer(const core::RunnerId &runner) {
  Cache.removeRunner(runner);
  Forecast.removeRunner(runner);
  Ejections.removeRunner(runner);
  RateLimits.removeRunner(runner);
  Cold.removeRunner(runner);
  Rejections.removeRunner(runner);
}

void Dispatcher::setPeers(const std::set<core::InstanceId> &others) {
  Gateways = others.size() + 1;
  RateLimits.setGateways(Settings.Instance, others);
  for (auto &[service, window] : Budgets)
    window.setMembers(Gateways);
}

void Dispatcher::setRegistration(const limits::Registration &registration) {
  Registered = registration;
  for (auto &[service, window] : Budgets)
    window.setRegistration(registration);
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
  for (const auto &[ticket, attempt] : ActiveAttempts)
    counts[attempt.Service] += attempt.Answered ? 0 : 1;
  return counts;
}

std::map<core::ServiceId, double>
Dispatcher::remainingRetries(core::Millis now) {
  std::map<core::ServiceId, double> retries;
  for (auto &[service, window] : Budgets)
    retries.emplace(service, window.remaining(now));
  return retries;
}

std::map<core::ServiceId, limits::RetryWindowState>
Dispatcher::retryBudgets(core::Millis now) {
  std::map<core::ServiceId, limits::RetryWindowState> states;
  for (auto &[service, window] : Budgets)
    states.emplace(service, window.state(now));
  return states;
}

void Dispatcher::recordServingVersions(core::Millis now) {
  std::map<core::ServiceId, std::set<core::VersionId>> versions;
  for (const auto &[id, server] : Servers.all())
    versions[server.Service].insert(server.Version);
  for (const auto &[service, registered] : versions)
    Trials.onRegistered(service, registered, now);
}

void Dispatcher::tick(core::Millis now) {
  recordServingVersions(now);
  Evidence.setTrials(Trials.activeCommands(), now);
  Eligibility.tick(now);
  Crashes.tick(now);
  Backoff.tick(now);
  RateLimits.tick(now);
  Order.tick(now);
  Cold.tick([this](const core::RunnerId &it) { return coldStartOf(it); }, now);
  for (const auto &[id, server] : Servers.all())
    limitByWarmth(server, now);
}

} // namespace cowslipridge::gateway
