#include "cowslipridge/gateway/RunnerSelection.hpp"

#include "cowslipridge/gateway/RequestTraits.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::gateway {

namespace {

/// Part of a prefill's duration by which it delays each answer in progress at
/// the same runner.
constexpr double RunningAnswerDelay = 0.1;
/// A pool overflows when its first token takes more than one part in
/// OverflowDivisor of the target latency, and only to a runner that is faster
/// by more than the factor OverflowMinSpeedup.
constexpr std::int64_t OverflowDivisor = 4;
constexpr std::int64_t OverflowMinSpeedup = 2;
/// Delay that each plain request in progress adds to a runner's response.
constexpr double MillisPerPlainRequest = 30;
/// Limits the delay of other requests in a runner's score, as a share of the
/// target latency: beyond it, a prompt is read again elsewhere rather than wait
/// for the runner that has it.
constexpr double MaxDelayShare = 0.25;
/// Weight of a runner's time between events in its score, in events; the time
/// to the first token has weight 1.
constexpr double EventsInScore = 5;

/// Time that the transfer of a cached prefix takes whatever its size.
constexpr double TransferSetupMillis = 10;

/// Bounds the number of sessions in one report, so that it fits a datagram.
constexpr std::size_t MaxReportedPins = 60;

} // namespace

RunnerSelection::RunnerSelection(const config::GatewaySettings &settings,
                                 const SelectionInputs &inputs)
    : Domain(settings.Domain), SessionLifetime(settings.SessionLifetime),
      Servers(inputs.Servers), Trials(inputs.Trials),
      Ejections(inputs.Ejections), RateLimits(inputs.RateLimits),
      Backoff(inputs.Backoff), Rejections(inputs.Rejections),
      Forecast(inputs.Forecast), Cache(inputs.Cache) {}

std::optional<RunnerSelection::Candidate>
RunnerSelection::choose(const RequestContext &request, ModelTier tier,
                        const std::vector<core::RunnerId> &excluded,
                        core::Millis now) const {
  return bestOfPool(eligible(request, serviceOf(request), excluded, now),
                    modelOf(request, tier), tier, request, now);
}

void RunnerSelection::onSelected(const RequestContext &request, ModelTier tier,
                                 const Candidate &candidate, core::Millis now) {
  if (tier)
    Pools.recordWork(
        isLargestModel(request, *tier),
        static_cast<double>(Forecast
                                .idleTimeToFirstToken(candidate.Server->Id,
                                                      modelOf(request, tier),
                                                      candidate.UncachedTokens)
                                .count()),
        now);
  if (!request.Caller.Session.empty())
    Pins.insert_or_assign(
        request.Caller.Session.str(),
        Pin{serviceOf(request), candidate.Server->Version, now});
}

std::vector<std::uint64_t>
RunnerSelection::pinnedSessions(core::Millis now) const {
  std::vector<std::uint64_t> hashes;
  for (const auto &[session, pin] : Pins) {
    const auto target = Trials.activeTarget(pin.Service);
    const std::uint64_t hash = hashOf(session);
    const bool isPinned = target && pin.Version != *target &&
                          now - pin.UsedAt <= SessionLifetime &&
                          Trials.hasStickySessions(pin.Service, now) &&
                          Trials.isAssignedToTarget(pin.Service, hash);
    if (isPinned && hashes.size() < MaxReportedPins)
      hashes.push_back(hash);
  }
  return hashes;
}

void RunnerSelection::addRemotePins(const std::vector<std::uint64_t> &hashes,
                                    core::Millis now) {
  for (const std::uint64_t it : hashes)
    RemotePins.insert_or_assign(it, now);
}

void RunnerSelection::tick(core::Millis now) {
  std::erase_if(RemotePins, [&](const auto &it) {
    return now - it.second > SessionLifetime;
  });
  std::erase_if(Pins, [&](const auto &pin) {
    return now - pin.second.UsedAt > SessionLifetime * 2;
  });
}

ServerList RunnerSelection::serving(const RequestContext &request,
                                    const core::ServiceId &service,
                                    core::Millis now) const {
  ServerList servers;
  for (const auto &[id, server] : Servers.all()) {
    const bool usable = server.Service == service && !server.Draining &&
                        !Trials.isBanned(service, server.Version);
    if (usable)
      servers.push_back(&server);
  }
  filterByVersion(request, service, servers, now);
  return servers;
}

core::Millis
RunnerSelection::unavailableFor(const membership::BackendServer &server,
                                core::Millis now) const {
  return std::max(Backoff.remaining(server.Id, server.StartedAt, now),
                  RateLimits.remaining(server.Id, now));
}

core::Millis RunnerSelection::timeUntilAvailable(const RequestContext &request,
                                                 core::Millis now) const {
  std::optional<core::Millis> shortest;
  for (const auto *server : serving(request, serviceOf(request), now)) {
    const core::Millis remaining = unavailableFor(*server, now);
    shortest = std::min(shortest.value_or(remaining), remaining);
  }
  return shortest.value_or(core::Millis());
}

ServerList RunnerSelection::eligible(
    const RequestContext &request, const core::ServiceId &service,
    const std::vector<core::RunnerId> &excluded, core::Millis now) const {
  ServerList servers = serving(request, service, now);
  std::erase_if(servers, [&](const auto *it) {
    return std::find(excluded.begin(), excluded.end(), it->Id) !=
               excluded.end() ||
           unavailableFor(*it, now) > core::Millis();
  });
  // Ejected runners are used when there is no healthy one.
  const auto healthy = std::stable_partition(
      servers.begin(), servers.end(),
      [&](const auto *it) { return !Ejections.isEjected(it->Id, now); });
  if (healthy != servers.begin())
    servers.erase(healthy, servers.end());
  return servers;
}

void RunnerSelection::filterByVersion(const RequestContext &request,
                                      const core::ServiceId &service,
                                      ServerList &servers,
                                      core::Millis now) const {
  using Choice = rollout::TrialControl::Choice;
  auto choice = Trials.choose(service, sessionHashOf(request), now);
  if (choice.Versions == Choice::Any)
    return;
  const auto isTarget = [&](const auto *it) {
    return it->Version == choice.Target;
  };
  const auto pin = Pins.find(request.Caller.Session.str());
  const bool pinned = !request.Caller.Session.empty() && pin != Pins.end() &&
                      now - pin->second.UsedAt <= SessionLifetime;
  if (pinned && Trials.hasStickySessions(service, now))
    choice.Versions =
        pin->second.Version == choice.Target ? Choice::Target : Choice::Stable;
  const bool pinnedElsewhere = !pinned &&
                               RemotePins.contains(sessionHashOf(request)) &&
                               Trials.hasStickySessions(service, now);
  if (pinnedElsewhere)
    choice.Versions = Choice::Stable;
  // New sessions start on the stable version until the target has runners.
  const auto &all = Servers.all();
  const bool targetServes =
      std::any_of(all.begin(), all.end(), [&](const auto &it) {
        return it.second.Service == service && !it.second.Draining &&
               isTarget(&it.second);
      });
  if (choice.Versions == Choice::Target && !targetServes && !pinned)
    choice.Versions = Choice::Stable;
  std::erase_if(servers, [&](const auto *it) {
    return isTarget(it) != (choice.Versions == Choice::Target);
  });
}

double RunnerSelection::congestionOf(const ServerList &servers) const {
  double requests = 0;
  for (const auto *server : servers) {
    const route::ServerLoad load = Forecast.load(server->Id);
    requests += load.Waiting + RunningAnswerDelay * load.Running;
  }
  return requests / static_cast<double>(servers.size());
}

RunnerSelection::Candidate RunnerSelection::evaluate(
    const membership::BackendServer &server, const PromptLocation &prompt,
    const std::string &model, const RequestContext &request, double congestion,
    core::Millis now) const {
  Candidate candidate;
  candidate.Server = &server;
  const std::uint64_t cached = prompt.cachedTokens(server);
  const std::uint64_t all = promptTokens(request.Caller);
  candidate.UncachedTokens = all > cached ? all - cached : 0;
  candidate.FirstToken =
      Forecast.timeToFirstToken(server.Id, model, candidate.UncachedTokens);
  const auto target = static_cast<double>(request.Route->TargetLatency.count());
  candidate.Score = static_cast<double>(candidate.FirstToken.count()) +
                    Rejections.rate(server.Id, now) * target;
  const route::ServerLoad load = Forecast.load(server.Id);
  if (prompt.isEmpty()) {
    candidate.Score += MillisPerPlainRequest * load.requests();
    return candidate;
  }
  // Prefill also evicts another prompt from the runner's cache, and delays
  // other requests.
  const double prefill =
      Forecast.prefillMillis(model, candidate.UncachedTokens);
  candidate.Score +=
      prefill + std::min(congestion * prefill, MaxDelayShare * target);
  candidate.Score +=
      EventsInScore * Forecast.eventIntervalMillis(server.Id, now);
  return candidate;
}

ServerList RunnerSelection::poolOf(ServerList servers,
                                   const RequestContext &request,
                                   ModelTier tier) const {
  if (!tier || servers.size() < 2)
    return servers;
  std::sort(servers.begin(), servers.end(), [](const auto *a, const auto *b) {
    return route::ModelPools::before(a->Id, b->Id);
  });
  const auto bound =
      servers.begin() +
      static_cast<std::ptrdiff_t>(Pools.smallerModelsPoolSize(servers.size()));
  if (isLargestModel(request, *tier))
    servers.erase(servers.begin(), bound);
  else
    servers.erase(bound, servers.end());
  return servers;
}

std::optional<RunnerSelection::Candidate>
RunnerSelection::best(const ServerList &servers, const std::string &model,
                      const RequestContext &request, core::Millis now) const {
  if (servers.empty())
    return std::nullopt;
  const PromptLocation prompt(Cache, blocksOf(request.Caller, model),
                              hashOf(request.Caller.Id.str()), servers);
  const double congestion = congestionOf(servers);
  std::optional<Candidate> chosen;
  for (const auto *server : servers) {
    Candidate candidate =
        evaluate(*server, prompt, model, request, congestion, now);
    // Runners in this gateway's failure domain have a shorter network path.
    // Ties go to the preferred runner.
    candidate.Score += server->Domain == Domain ? 0 : 1;
    candidate.Score -= server == prompt.preferred() ? 1 : 0;
    if (!chosen || candidate.Score < chosen->Score)
      chosen = candidate;
  }
  planTransfer(*chosen, prompt, servers, model, request);
  return chosen;
}

// The choice itself takes no account of transfers: a prefix that is read where
// it is cached moves nowhere.
void RunnerSelection::planTransfer(Candidate &candidate,
                                   const PromptLocation &prompt,
                                   const ServerList &servers,
                                   const std::string &model,
                                   const RequestContext &request) const {
  const double perToken = transferMillisPerToken(request);
  if (perToken <= 0)
    return;
  // Most prompts are read in less time than any transfer takes.
  if (Forecast.prefillMillis(model, candidate.UncachedTokens) <=
      TransferSetupMillis)
    return;
  const PromptLocation::Holder holder = prompt.largestHolder(servers);
  const std::uint64_t cached = prompt.cachedTokens(*candidate.Server);
  if (holder.Tokens <= cached)
    return;
  const std::uint64_t tokens =
      std::min(holder.Tokens - cached, candidate.UncachedTokens);
  const double transfer =
      TransferSetupMillis + perToken * static_cast<double>(tokens);
  if (transfer >= Forecast.prefillMillis(model, tokens))
    return;
  candidate.PrefixSource = holder.Server;
  candidate.FetchedTokens = tokens;
  candidate.UncachedTokens -= tokens;
  candidate.FirstToken = Forecast.timeToFirstToken(candidate.Server->Id, model,
                                                   candidate.UncachedTokens) +
                         core::Millis(std::llround(transfer));
}

std::optional<RunnerSelection::Candidate>
RunnerSelection::bestOfPool(const ServerList &servers, const std::string &model,
                            ModelTier tier, const RequestContext &request,
                            core::Millis now) const {
  const auto own = best(poolOf(servers, request, tier), model, request, now);
  if (!tier || (own && own->FirstToken * OverflowDivisor <=
                           request.Route->TargetLatency))
    return own;
  // A pool that can't keep up with a burst overflows to the other pools.
  const auto any = best(servers, model, request, now);
  const bool overflows =
      any && (!own || any->FirstToken * OverflowMinSpeedup < own->FirstToken);
  return overflows ? any : own;
}

std::optional<route::TierForecast>
RunnerSelection::forecast(const RequestContext &request, std::size_t tier,
                          core::Millis now) const {
  const core::ServiceId service = serviceOf(request);
  const auto servers =
      poolOf(eligible(request, service, {}, now), request, tier);
  const auto candidate = best(servers, modelOf(request, tier), request, now);
  if (!candidate)
    return std::nullopt;
  const double events = expectedEvents(request, service);
  const double pace = Forecast.eventIntervalMillis(candidate->Server->Id, now);
  route::TierForecast estimate;
  estimate.FirstToken = candidate->FirstToken;
  estimate.Waiting =
      std::max(core::Millis(),
               candidate->FirstToken -
                   Forecast.idleTimeToFirstToken(candidate->Server->Id,
                                                 modelOf(request, tier),
                                                 candidate->UncachedTokens));
  estimate.Completion =
      candidate->FirstToken + core::Millis(std::llround(events * pace));
  return estimate;
}

} // namespace cowslipridge::gateway
