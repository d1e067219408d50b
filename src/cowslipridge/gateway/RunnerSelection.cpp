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

} // namespace

RunnerSelection::RunnerSelection(const config::GatewaySettings &settings,
                                 const SelectionInputs &inputs)
    : Domain(settings.Domain), Eligibility(inputs.Eligibility),
      Rejections(inputs.Rejections), Forecast(inputs.Forecast),
      Cache(inputs.Cache) {}

std::optional<RunnerSelection::Candidate>
RunnerSelection::choose(const RequestContext &request, ModelTier tier,
                        const std::vector<core::RunnerId> &excluded,
                        core::Millis now) const {
  return bestOfPool(Eligibility.eligible(request, excluded, now),
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
      poolOf(Eligibility.eligible(request, {}, now), request, tier);
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
