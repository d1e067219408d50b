#include "cowslipridge/gateway/Dispatcher.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace cowslipridge::gateway {

namespace {

/// Prompt blocks that are remembered; several times what runners keep.
constexpr std::size_t MaxCacheBlocks = 20'000;
/// How likely other gateways have had the favourite runner read a shared part.
constexpr double FavouriteKeeps = 0.7;
/// Part of the most output tokens that an answer has, without a better guess.
constexpr double GuessedPartOfMost = 0.35;
/// Patience with a runner: times the forecast, and at least.
constexpr std::int64_t PatienceFactor = 4;
constexpr core::Millis LeastStreamPatience{1'500};
/// Part of a plain request's time after which a silent runner is given up.
constexpr std::int64_t PlainPatienceParts = 3;
/// Refused callers come back after this time at the earliest.
constexpr core::Millis ShortReturn{150};
/// A pool overflows when its first token takes more than this part of the
/// target (the inverse), to a runner that is faster by a factor.
constexpr std::int64_t OverflowParts = 4;
constexpr std::int64_t OverflowGain = 2;
/// A further plain request in hand makes a runner's answer so much later.
constexpr double MillisPerPlainRequest = 30;
/// How much a runner's pace counts against its first token, in events.
constexpr double EventsThatCount = 5;
constexpr std::size_t LeastConnections = 4;

std::uint64_t hashOf(const std::string &text) {
  return XXH64(text.data(), text.size(), 0);
}

// What a request's version follows from: its session, else itself.
std::uint64_t sessionHashOf(const RequestFacts &facts) {
  const CallerRequest &caller = facts.Caller;
  return hashOf(caller.Session.empty() ? caller.Id.str()
                                       : caller.Session.str());
}

std::vector<route::CacheBlock> blocksOf(const CallerRequest &caller,
                                        const std::string &model) {
  std::vector<route::CacheBlock> blocks;
  std::uint64_t hash = route::PromptCache::seedOf(model);
  for (const PromptPart &it : caller.Prompt) {
    blocks.push_back(route::PromptCache::chain(hash, it.Id, it.Tokens));
    hash = blocks.back().Hash;
  }
  return blocks;
}

std::uint64_t promptTokens(const CallerRequest &caller) {
  std::uint64_t listed = 0;
  for (const PromptPart &it : caller.Prompt)
    listed += it.Tokens;
  return std::max(listed, caller.PromptTokens);
}

std::string modelOf(const RequestFacts &facts, ModelTier tier) {
  return tier ? facts.Route->Models.at(*tier) : facts.Caller.Model;
}

} // namespace

Dispatcher::Dispatcher(const config::GatewaySettings &settings)
    : Settings(settings), Trials(settings.Exposure.Fraction),
      Cache(MaxCacheBlocks) {}

void Dispatcher::setCatalogue(catalogue::CataloguePtr catalogue) {
  Catalogue = std::move(catalogue);
  for (const catalogue::Service &service : Catalogue->catalogue().Services) {
    if (!service.Inference)
      continue;
    double most = 0;
    for (const catalogue::Model &it : service.Inference->Models)
      most = std::max(most, it.Cost);
    for (const catalogue::Model &it : service.Inference->Models)
      Forecast.introduce(it.Name, most > 0 ? it.Cost / most : 1);
  }
}

const core::ServiceId &
Dispatcher::chooseService(const RequestFacts &facts) const {
  const auto &services = facts.Route->Services;
  unsigned total = 0;
  for (const catalogue::WeightedService &it : services)
    total += it.Weight;
  std::uint64_t point = sessionHashOf(facts) % std::max(1U, total);
  for (const catalogue::WeightedService &it : services) {
    if (point < it.Weight)
      return it.Service;
    point -= it.Weight;
  }
  return services.front().Service;
}

std::vector<const membership::BackendServer *>
Dispatcher::eligible(const RequestFacts &facts, const core::ServiceId &service,
                     const std::vector<core::RunnerId> &excluded,
                     core::Millis now) {
  std::vector<const membership::BackendServer *> servers;
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

void Dispatcher::keepVersion(
    const RequestFacts &facts, const core::ServiceId &service,
    std::vector<const membership::BackendServer *> &servers, core::Millis now) {
  using Choice = rollout::TrialControl::Choice;
  auto verdict = Trials.choose(service, sessionHashOf(facts));
  if (verdict.Versions == Choice::Any)
    return;
  const auto isTarget = [&](const auto *it) {
    return it->Version == verdict.Target;
  };
  const auto pin = Pins.find(facts.Caller.Session.str());
  const bool pinned = !facts.Caller.Session.empty() && pin != Pins.end() &&
                      now - pin->second.UsedAt <= Settings.SessionLifetime;
  if (pinned && Trials.keepsSessions(service, now))
    verdict.Versions =
        pin->second.Version == verdict.Target ? Choice::Target : Choice::Stable;
  // Until runners of the target are there, all sessions begin on the other.
  const bool targetServes =
      std::any_of(servers.begin(), servers.end(), isTarget);
  if (verdict.Versions == Choice::Target && !targetServes && !pinned)
    verdict.Versions = Choice::Stable;
  std::erase_if(servers, [&](const auto *it) {
    return isTarget(it) != (verdict.Versions == Choice::Target);
  });
}

Dispatcher::Candidate
Dispatcher::rate(const membership::BackendServer &server,
                 const std::vector<route::CacheBlock> &prompt,
                 const std::string &model, const RequestFacts &facts,
                 bool isFavourite, core::Millis now) const {
  Candidate candidate;
  candidate.Server = &server;
  std::uint64_t kept = Cache.keptTokens(prompt, server.Id);
  if (kept == 0 && isFavourite && prompt.size() > 1)
    kept = static_cast<std::uint64_t>(
        FavouriteKeeps * static_cast<double>(prompt.front().Tokens));
  const std::uint64_t all = promptTokens(facts.Caller);
  candidate.UncachedTokens = all > kept ? all - kept : 0;
  candidate.FirstToken =
      Forecast.firstToken(server.Id, model, candidate.UncachedTokens);
  candidate.Score = static_cast<double>(candidate.FirstToken.count());
  const route::ServerLoad load = Forecast.load(server.Id);
  if (prompt.empty()) {
    candidate.Score += MillisPerPlainRequest * (load.Waiting + load.Running);
    return candidate;
  }
  // Reading again also pushes another part out of the runner's memory.
  candidate.Score += Forecast.readingMillis(model, candidate.UncachedTokens);
  candidate.Score += EventsThatCount * Forecast.eventMillis(server.Id, now);
  return candidate;
}

std::vector<const membership::BackendServer *>
Dispatcher::poolOf(std::vector<const membership::BackendServer *> servers,
                   ModelTier tier) const {
  if (!tier || servers.size() < 2)
    return servers;
  std::sort(servers.begin(), servers.end(), [](const auto *a, const auto *b) {
    return route::ModelPools::before(a->Id, b->Id);
  });
  const auto bound = servers.begin() + static_cast<std::ptrdiff_t>(
                                           Pools.smallestPool(servers.size()));
  if (*tier == 0)
    servers.erase(bound, servers.end());
  else
    servers.erase(servers.begin(), bound);
  return servers;
}

std::optional<Dispatcher::Candidate>
Dispatcher::best(const std::vector<const membership::BackendServer *> &servers,
                 const std::string &model, const RequestFacts &facts,
                 core::Millis now) const {
  if (servers.empty())
    return std::nullopt;
  const auto prompt = blocksOf(facts.Caller, model);
  const std::uint64_t key =
      prompt.empty() ? hashOf(facts.Caller.Id.str()) : prompt.front().Hash;
  const auto *favourite = *std::max_element(
      servers.begin(), servers.end(), [&](const auto *a, const auto *b) {
        return route::PromptCache::weight(key, a->Id) <
               route::PromptCache::weight(key, b->Id);
      });
  std::optional<Candidate> chosen;
  for (const auto *server : servers) {
    Candidate candidate =
        rate(*server, prompt, model, facts, server == favourite, now);
    // Its own failure domain saves a little time, the favourite settles ties.
    candidate.Score += server->Domain == Settings.Domain ? 0 : 1;
    candidate.Score -= server == favourite ? 1 : 0;
    if (!chosen || candidate.Score < chosen->Score)
      chosen = candidate;
  }
  return chosen;
}

std::optional<Dispatcher::Candidate> Dispatcher::bestOfPool(
    const std::vector<const membership::BackendServer *> &servers,
    const std::string &model, ModelTier tier, const RequestFacts &facts,
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

PlacementResult Dispatcher::place(const RequestFacts &facts, ModelTier tier,
                                  const std::vector<core::RunnerId> &excluded,
                                  bool repeat, core::Millis now) {
  const core::ServiceId service = chooseService(facts);
  const std::string model = modelOf(facts, tier);
  const auto candidate = bestOfPool(eligible(facts, service, excluded, now),
                                    model, tier, facts, now);
  if (!candidate)
    return NoPlacement{"no runner", ShortReturn};
  const core::Millis left = facts.Deadline - now;
  if (candidate->FirstToken >= left && !facts.Caller.Prompt.empty())
    return NoPlacement{"no runner answers in time",
                       std::max(ShortReturn, candidate->FirstToken - left)};
  limits::RetryWindow &retries = budget(service);
  if (!repeat)
    retries.onFirst(now);
  else if (!retries.tryTake(now))
    return NoPlacement{"the budget for repeats is spent", ShortReturn};
  return commit(*candidate, service, model, tier, facts, now);
}

Placement Dispatcher::commit(const Candidate &candidate,
                             const core::ServiceId &service,
                             const std::string &model, ModelTier tier,
                             const RequestFacts &facts, core::Millis now) {
  const membership::BackendServer &server = *candidate.Server;
  const bool isStream = catalogue::isStream(facts.Route->Kind);
  Placement placement;
  placement.Ticket = NextTicket++;
  placement.Service = service;
  placement.Runner = server.Id;
  placement.Version = server.Version;
  placement.Host = server.Host;
  placement.Port = server.Port;
  placement.Tier = tier;
  placement.PredictedFirstByte = candidate.FirstToken;
  const core::Millis left = facts.Deadline - now;
  placement.Patience =
      isStream
          ? std::max(LeastStreamPatience, candidate.FirstToken * PatienceFactor)
          : left / PlainPatienceParts;
  const catalogue::Service *declared = facts.Catalogue->service(service);
  const std::size_t limit =
      declared != nullptr && declared->ConnectionLimit != 0
          ? declared->ConnectionLimit
          : std::numeric_limits<std::size_t>::max();
  placement.MaxConnections = std::max(LeastConnections, limit / Gateways);

  Forecast.sent(placement.Ticket, server.Id, model, candidate.UncachedTokens,
                now);
  Cache.read(blocksOf(facts.Caller, model), server.Id);
  if (tier)
    Pools.sent(*tier == 0,
               Forecast.readingMillis(model, candidate.UncachedTokens), now);
  if (!facts.Caller.Session.empty())
    Pins.insert_or_assign(facts.Caller.Session.str(), Pin{server.Version, now});
  ++OwnEvidence[{service, server.Version, facts.Route->Name}].Sent;
  Sendings.emplace(placement.Ticket, Sending{service, server.Version, server.Id,
                                             facts.Route->Name, isStream, now,
                                             candidate.FirstToken, false});
  return placement;
}

ModelTier Dispatcher::firstTier(const RequestFacts &facts,
                                core::Millis /*now*/) {
  if (!facts.Caller.AnyModel || facts.Route->Models.empty())
    return std::nullopt;
  return 0;
}

double Dispatcher::expectedEvents(const RequestFacts &facts,
                                  const core::ServiceId &service) {
  const catalogue::Service *declared = facts.Catalogue->service(service);
  const double perEvent = declared != nullptr && declared->Inference
                              ? declared->Inference->TokensPerEvent
                              : 1;
  const double tokens =
      facts.Caller.GuessedOutputTokens
          ? static_cast<double>(*facts.Caller.GuessedOutputTokens)
          : GuessedPartOfMost *
                static_cast<double>(facts.Caller.MaxOutputTokens);
  return tokens / perEvent;
}

std::optional<route::TierForecast>
Dispatcher::forecast(const RequestFacts &facts, std::size_t tier,
                     core::Millis now) {
  const core::ServiceId service = chooseService(facts);
  const auto servers = poolOf(eligible(facts, service, {}, now), tier);
  const auto candidate = best(servers, modelOf(facts, tier), facts, now);
  if (!candidate)
    return std::nullopt;
  const double events = expectedEvents(facts, service);
  const double pace = Forecast.eventMillis(candidate->Server->Id, now);
  route::TierForecast ahead;
  ahead.FirstToken = candidate->FirstToken;
  ahead.Whole =
      candidate->FirstToken + core::Millis(std::llround(events * pace));
  return ahead;
}

ModelTier Dispatcher::betterTier(const RequestFacts &facts, std::size_t tier,
                                 int confidence, core::Millis now) {
  const std::size_t largest = facts.Route->Models.size() - 1;
  const auto ahead =
      tier < largest ? forecast(facts, largest, now) : std::nullopt;
  if (!ahead)
    return tier;
  route::LadderFacts ladder;
  ladder.Confidence = confidence;
  ladder.Target = facts.Route->TargetLatency - (now - facts.ArrivedAt);
  ladder.Deadline = facts.Deadline - now;
  ladder.Largest = *ahead;
  return route::asksLargest(ladder) ? largest : tier;
}

void Dispatcher::onFirstByte(std::uint64_t ticket, core::Millis now) {
  Forecast.answered(ticket, now);
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
  Forecast.progressed(ticket, events, now);
}

void Dispatcher::onEnded(std::uint64_t ticket, SendOutcome outcome,
                         core::Millis now) {
  Forecast.ended(ticket);
  const auto it = Sendings.find(ticket);
  if (it == Sendings.end())
    return;
  const Sending sending = it->second;
  Sendings.erase(it);
  rollout::AnswerCounts &counts =
      OwnEvidence[{sending.Service, sending.Version, sending.Route}];
  switch (outcome) {
  case SendOutcome::Served:
    Ejections.onSuccess(sending.Runner);
    ++counts.Judged;
    break;
  case SendOutcome::Unreachable:
    Ejections.onUnreachable(sending.Runner, now);
    break;
  case SendOutcome::FailedAnswer:
    Ejections.onFailure(sending.Runner, now);
    ++counts.Judged;
    ++counts.Failed;
    break;
  case SendOutcome::Broken:
  case SendOutcome::Silent:
    Ejections.onFailure(sending.Runner, now);
    ++counts.Judged;
    ++counts.Broken;
    break;
  case SendOutcome::Rejected:
    Ejections.onFailure(sending.Runner, now);
    break;
  case SendOutcome::Dropped:
    break;
  }
}

limits::RetryWindow &Dispatcher::budget(const core::ServiceId &service) {
  const auto known = Budgets.find(service);
  if (known != Budgets.end())
    return known->second;
  limits::RetryWindow window({Settings.Retries.PerRequest,
                              static_cast<double>(Settings.Retries.Fixed),
                              Settings.Retries.Window});
  window.setMembers(Gateways);
  return Budgets.emplace(service, std::move(window)).first->second;
}

void Dispatcher::forgetServer(const core::RunnerId &runner) {
  Cache.forget(runner);
  Forecast.forget(runner);
  Ejections.forget(runner);
}

void Dispatcher::setPeers(std::size_t others) {
  Gateways = others + 1;
  for (auto &[service, window] : Budgets)
    window.setMembers(Gateways);
}

void Dispatcher::onPeerReport(const PeerReport &report) {
  Forecast.setRemote(report.Gateway, report.Loads);
  PeerEvidence.insert_or_assign(report.Gateway, report.Evidence);
}

void Dispatcher::forgetPeer(const core::InstanceId &peer) {
  // What it has seen stays true; what it has under way does not.
  Forecast.forgetRemote(peer);
}

PeerReport Dispatcher::report() const {
  PeerReport report;
  report.Gateway = Settings.Instance;
  report.Loads = Forecast.ownLoads();
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
    const core::VersionId target = Trials.choose(service, 0).Target;
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

void Dispatcher::tick(core::Millis now) {
  std::erase_if(Pins, [&](const auto &pin) {
    return now - pin.second.UsedAt > Settings.SessionLifetime * 2;
  });
}

} // namespace cowslipridge::gateway
