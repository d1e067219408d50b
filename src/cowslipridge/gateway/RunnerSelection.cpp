#include "cowslipridge/gateway/RunnerSelection.hpp"

#include "cowslipridge/gateway/RequestTraits.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::gateway {

namespace {

/// How likely other gateways have had the favourite runner read a shared part.
constexpr double FavouriteKeeps = 0.7;
/// A pool overflows when its first token takes more than this part of the
/// target (the inverse), to a runner that is faster by a factor.
constexpr std::int64_t OverflowParts = 4;
constexpr std::int64_t OverflowGain = 2;
/// A further plain request in hand makes a runner's answer so much later.
constexpr double MillisPerPlainRequest = 30;
/// How much a runner's pace counts against its first token, in events.
constexpr double EventsThatCount = 5;

/// Sessions named in one report, so that it fits a datagram.
constexpr std::size_t MaxStaying = 60;

} // namespace

RunnerSelection::RunnerSelection(const config::GatewaySettings &settings,
                                 const SelectionInputs &inputs)
    : Domain(settings.Domain), SessionLifetime(settings.SessionLifetime),
      Servers(inputs.Servers), Trials(inputs.Trials),
      Ejections(inputs.Ejections), Forecast(inputs.Forecast),
      Cache(inputs.Cache) {}

std::optional<RunnerSelection::Candidate>
RunnerSelection::choose(const RequestFacts &facts, ModelTier tier,
                        const std::vector<core::RunnerId> &excluded,
                        core::Millis now) const {
  return bestOfPool(eligible(facts, serviceOf(facts), excluded, now),
                    modelOf(facts, tier), tier, facts, now);
}

void RunnerSelection::taken(const RequestFacts &facts, ModelTier tier,
                            const Candidate &candidate, core::Millis now) {
  if (tier)
    Pools.recordWork(
        *tier == 0,
        Forecast.prefillMillis(modelOf(facts, tier), candidate.UncachedTokens),
        now);
  if (!facts.Caller.Session.empty())
    Pins.insert_or_assign(
        facts.Caller.Session.str(),
        Pin{serviceOf(facts), candidate.Server->Version, now});
}

std::vector<std::uint64_t>
RunnerSelection::stayingSessions(core::Millis now) const {
  std::vector<std::uint64_t> hashes;
  for (const auto &[session, pin] : Pins) {
    const auto target = Trials.targetUnderWay(pin.Service);
    const std::uint64_t hash = hashOf(session);
    const bool stays = target && pin.Version != *target &&
                       now - pin.UsedAt <= SessionLifetime &&
                       Trials.keepsSessions(pin.Service, now) &&
                       Trials.isTargeted(pin.Service, hash);
    if (stays && hashes.size() < MaxStaying)
      hashes.push_back(hash);
  }
  return hashes;
}

void RunnerSelection::keepSessions(const std::vector<std::uint64_t> &hashes,
                                   core::Millis now) {
  for (const std::uint64_t it : hashes)
    Staying.insert_or_assign(it, now);
}

void RunnerSelection::tick(core::Millis now) {
  std::erase_if(Staying, [&](const auto &it) {
    return now - it.second > SessionLifetime;
  });
  std::erase_if(Pins, [&](const auto &pin) {
    return now - pin.second.UsedAt > SessionLifetime * 2;
  });
}

RunnerSelection::ServerList RunnerSelection::eligible(
    const RequestFacts &facts, const core::ServiceId &service,
    const std::vector<core::RunnerId> &excluded, core::Millis now) const {
  ServerList servers;
  for (const auto &[id, server] : Servers.all()) {
    const bool usable =
        server.Service == service && !server.Draining &&
        !Trials.isBanned(service, server.Version) &&
        std::find(excluded.begin(), excluded.end(), id) == excluded.end();
    if (usable)
      servers.push_back(&server);
  }
  keepVersion(facts, service, servers, now);
  // Ejected runners serve again when there is no other.
  const auto sound = std::stable_partition(
      servers.begin(), servers.end(),
      [&](const auto *it) { return !Ejections.isEjected(it->Id, now); });
  if (sound != servers.begin())
    servers.erase(sound, servers.end());
  return servers;
}

void RunnerSelection::keepVersion(const RequestFacts &facts,
                                  const core::ServiceId &service,
                                  ServerList &servers, core::Millis now) const {
  using Choice = rollout::TrialControl::Choice;
  auto verdict = Trials.choose(service, sessionHashOf(facts), now);
  if (verdict.Versions == Choice::Any)
    return;
  const auto isTarget = [&](const auto *it) {
    return it->Version == verdict.Target;
  };
  const auto pin = Pins.find(facts.Caller.Session.str());
  const bool pinned = !facts.Caller.Session.empty() && pin != Pins.end() &&
                      now - pin->second.UsedAt <= SessionLifetime;
  if (pinned && Trials.keepsSessions(service, now))
    verdict.Versions =
        pin->second.Version == verdict.Target ? Choice::Target : Choice::Stable;
  const bool staysElsewhere = !pinned &&
                              Staying.contains(sessionHashOf(facts)) &&
                              Trials.keepsSessions(service, now);
  if (staysElsewhere)
    verdict.Versions = Choice::Stable;
  // Until runners of the target are there, all sessions begin on the other.
  const auto &all = Servers.all();
  const bool targetServes =
      std::any_of(all.begin(), all.end(), [&](const auto &it) {
        return it.second.Service == service && !it.second.Draining &&
               isTarget(&it.second);
      });
  if (verdict.Versions == Choice::Target && !targetServes && !pinned)
    verdict.Versions = Choice::Stable;
  std::erase_if(servers, [&](const auto *it) {
    return isTarget(it) != (verdict.Versions == Choice::Target);
  });
}

RunnerSelection::Candidate
RunnerSelection::rate(const membership::BackendServer &server,
                      const std::vector<route::CacheBlock> &prompt,
                      const std::string &model, const RequestFacts &facts,
                      bool isFavourite, core::Millis now) const {
  Candidate candidate;
  candidate.Server = &server;
  std::uint64_t kept = Cache.cachedTokens(prompt, server.Id);
  if (kept == 0 && isFavourite && prompt.size() > 1)
    kept = static_cast<std::uint64_t>(
        FavouriteKeeps * static_cast<double>(prompt.front().Tokens));
  const std::uint64_t all = promptTokens(facts.Caller);
  candidate.UncachedTokens = all > kept ? all - kept : 0;
  candidate.FirstToken =
      Forecast.timeToFirstToken(server.Id, model, candidate.UncachedTokens);
  candidate.Score = static_cast<double>(candidate.FirstToken.count());
  const route::ServerLoad load = Forecast.load(server.Id);
  if (prompt.empty()) {
    candidate.Score += MillisPerPlainRequest * (load.Waiting + load.Running);
    return candidate;
  }
  // Reading again also pushes another part out of the runner's memory.
  candidate.Score += Forecast.prefillMillis(model, candidate.UncachedTokens);
  candidate.Score +=
      EventsThatCount * Forecast.eventIntervalMillis(server.Id, now);
  return candidate;
}

RunnerSelection::ServerList RunnerSelection::poolOf(ServerList servers,
                                                    ModelTier tier) const {
  if (!tier || servers.size() < 2)
    return servers;
  std::sort(servers.begin(), servers.end(), [](const auto *a, const auto *b) {
    return route::ModelPools::before(a->Id, b->Id);
  });
  const auto bound =
      servers.begin() +
      static_cast<std::ptrdiff_t>(Pools.smallestModelPoolSize(servers.size()));
  if (*tier == 0)
    servers.erase(bound, servers.end());
  else
    servers.erase(servers.begin(), bound);
  return servers;
}

std::optional<RunnerSelection::Candidate>
RunnerSelection::best(const ServerList &servers, const std::string &model,
                      const RequestFacts &facts, core::Millis now) const {
  if (servers.empty())
    return std::nullopt;
  const auto prompt = blocksOf(facts.Caller, model);
  const std::uint64_t key =
      prompt.empty() ? hashOf(facts.Caller.Id.str()) : prompt.front().Hash;
  const auto *favourite = *std::max_element(
      servers.begin(), servers.end(), [&](const auto *a, const auto *b) {
        return route::PromptCache::rendezvousWeight(key, a->Id) <
               route::PromptCache::rendezvousWeight(key, b->Id);
      });
  std::optional<Candidate> chosen;
  for (const auto *server : servers) {
    Candidate candidate =
        rate(*server, prompt, model, facts, server == favourite, now);
    // Within its own failure domain the way is shorter; the favourite settles
    // ties.
    candidate.Score += server->Domain == Domain ? 0 : 1;
    candidate.Score -= server == favourite ? 1 : 0;
    if (!chosen || candidate.Score < chosen->Score)
      chosen = candidate;
  }
  return chosen;
}

std::optional<RunnerSelection::Candidate>
RunnerSelection::bestOfPool(const ServerList &servers, const std::string &model,
                            ModelTier tier, const RequestFacts &facts,
                            core::Millis now) const {
  const auto own = best(poolOf(servers, tier), model, facts, now);
  if (!tier ||
      (own && own->FirstToken * OverflowParts <= facts.Route->TargetLatency))
    return own;
  // A pool that can't keep up with a burst borrows from the others.
  const auto any = best(servers, model, facts, now);
  const bool borrows =
      any && (!own || any->FirstToken * OverflowGain < own->FirstToken);
  return borrows ? any : own;
}

std::optional<route::TierForecast>
RunnerSelection::forecast(const RequestFacts &facts, std::size_t tier,
                          core::Millis now) const {
  const core::ServiceId service = serviceOf(facts);
  const auto servers = poolOf(eligible(facts, service, {}, now), tier);
  const auto candidate = best(servers, modelOf(facts, tier), facts, now);
  if (!candidate)
    return std::nullopt;
  const double events = expectedEvents(facts, service);
  const double pace = Forecast.eventIntervalMillis(candidate->Server->Id, now);
  route::TierForecast ahead;
  ahead.FirstToken = candidate->FirstToken;
  ahead.Completion =
      candidate->FirstToken + core::Millis(std::llround(events * pace));
  return ahead;
}

} // namespace cowslipridge::gateway
