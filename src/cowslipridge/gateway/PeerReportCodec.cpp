#include "cowslipridge/gateway/PeerReportCodec.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/peers/MessagePack.hpp"

namespace cowslipridge::gateway {

namespace {

using nlohmann::json;

/// Version of the layout below. Reports of other versions are ignored. Elements
/// that are appended need no new version: older builds ignore them, and newer
/// ones accept reports without them.
constexpr int FormatVersion = 3;
constexpr std::size_t ConfigurationIndex = 6;
constexpr std::size_t RolloutsIndex = 7;
constexpr std::size_t PromptsIndex = 8;
constexpr std::size_t CrashesIndex = 9;
constexpr std::size_t RateLimitsIndex = 10;
constexpr std::size_t ColdRunnersIndex = 11;
constexpr std::size_t EvacuatedIndex = 12;
constexpr std::size_t EvidenceIntervalsIndex = 9;
constexpr std::size_t EvidenceDurationsIndex = 10;
// Positions in the entries on crashes.
constexpr std::size_t BreakContentIndex = 5;
constexpr std::size_t TraitKindIndex = 3;
constexpr int SegmentCode = 0;
constexpr int ContentCode = 1;

json encodeLoads(const PeerReport &report) {
  json loads = json::array();
  for (const auto &[runner, load] : report.Loads)
    loads.push_back({runner.str(), static_cast<float>(load.PendingMillis),
                     load.Waiting, load.Running});
  return loads;
}

// Rows of a class of load, a bucket and its count; most buckets are empty.
json encode(const rollout::IntervalsByLoad &intervals) {
  json rows = json::array();
  for (std::size_t load = 0; load < rollout::IntervalsByLoad::ClassCount;
       ++load) {
    const auto &counts = intervals.ofClass(load).counts();
    for (std::size_t n = 0; n < counts.size(); ++n) {
      if (counts.at(n) > 0)
        rows.push_back({load, n, counts.at(n)});
    }
  }
  return rows;
}

void decode(const json &rows, rollout::IntervalsByLoad &intervals) {
  for (const json &it : rows) {
    const auto load = it.at(0).get<std::size_t>();
    if (load < rollout::IntervalsByLoad::ClassCount)
      intervals.ofClass(load).addToBucket(it.at(1).get<std::size_t>(),
                                          it.at(2).get<std::uint32_t>());
  }
}

json encodeEvidence(const PeerReport &report) {
  json evidence = json::array();
  for (const auto &[key, counts] : report.Evidence)
    evidence.push_back({key.Service.str(), key.Version.str(), key.Route,
                        counts.Sent, counts.Judged, counts.Failed,
                        counts.Broken, counts.Timed, counts.LogSlowness,
                        encode(counts.Intervals), encode(counts.Durations)});
  return evidence;
}

json encodeRollouts(const PeerReport &report) {
  json rollouts = json::array();
  for (const rollout::RolloutKnowledge &it : report.Rollouts)
    rollouts.push_back({it.Command.Service.str(), it.Command.Target.str(),
                        it.Command.Duration.count(), static_cast<int>(it.Phase),
                        it.Step, it.Elapsed.count()});
  return rollouts;
}

json encodePrompts(const PeerReport &report) {
  json prompts = json::array();
  for (const PromptPlacement &it : report.Prompts)
    prompts.push_back({it.Block, it.Runner.str()});
  return prompts;
}

int encode(limits::TraitKind kind) {
  return kind == limits::TraitKind::Content ? ContentCode : SegmentCode;
}

// Reports of older builds lack the kind: they know segments only.
limits::TraitKind decodeKind(const json &entry) {
  const bool isContent =
      entry.size() > TraitKindIndex && entry.at(TraitKindIndex) == ContentCode;
  return isContent ? limits::TraitKind::Content
                   : limits::TraitKind::PromptSegment;
}

json encode(const limits::RequestTrait &trait, core::Millis time) {
  return {trait.Service.str(), trait.Id, time.count(), encode(trait.Kind)};
}

json encodeCrashes(const CrashReport &report) {
  json breaks = json::array();
  for (const limits::EarlyBreak &it : report.Breaks)
    breaks.push_back({it.Traits.Service.str(), it.Runner.str(), it.Request,
                      it.Traits.Segments, (report.SentAt - it.At).count(),
                      it.Traits.Content});
  json survivals = json::array();
  for (const limits::TraitSurvival &it : report.Survivals)
    survivals.push_back(encode(it.Trait, report.SentAt - it.At));
  json quarantined = json::array();
  for (const limits::QuarantinedTrait &it : report.Quarantined)
    quarantined.push_back(encode(it.Trait, it.Remaining));
  return {breaks, survivals, quarantined};
}

json encodeRateLimits(const PeerReport &report) {
  json list = json::array();
  for (const limits::ReportedRateLimit &it : report.RateLimits) {
    const auto &[runner, perSecond] = it.Statement;
    list.push_back(
        {runner.str(), perSecond ? json(*perSecond) : json(), it.Age.count()});
  }
  return list;
}

void decodeRateLimits(const json &message, PeerReport &report) {
  for (const json &it : message) {
    limits::ReportedRateLimit limit;
    limit.Statement.Runner = core::RunnerId(it.at(0).get<std::string>());
    if (!it.at(1).is_null())
      limit.Statement.PerSecond = it.at(1).get<double>();
    limit.Age = core::Millis(it.at(2).get<std::int64_t>());
    report.RateLimits.push_back(std::move(limit));
  }
}

json encode(const membership::ColdReport &report) {
  json rows = json::array();
  for (const membership::ColdRunner &it : report.Runners)
    rows.push_back({it.Runner.str(), it.StartedAt.count(),
                    it.Remaining ? json(it.Remaining->count()) : json()});
  return {report.Settled, rows};
}

membership::ColdReport decodeColdRunners(const json &message) {
  membership::ColdReport report;
  report.Settled = message.at(0).get<bool>();
  for (const json &it : message.at(1)) {
    membership::ColdRunner runner;
    runner.Runner = core::RunnerId(it.at(0).get<std::string>());
    runner.StartedAt = core::Millis(it.at(1).get<std::int64_t>());
    if (!it.at(2).is_null())
      runner.Remaining = core::Millis(it.at(2).get<std::int64_t>());
    report.Runners.push_back(std::move(runner));
  }
  return report;
}

json encode(const std::set<core::FailureDomainId> &domains) {
  json names = json::array();
  for (const core::FailureDomainId &it : domains)
    names.push_back(it.str());
  return names;
}

/// The decoded report was sent at time zero: earlier times are negative.
CrashReport decodeCrashes(const json &message) {
  const auto traitOf = [](const json &it) {
    return limits::RequestTrait{core::ServiceId(it.at(0).get<std::string>()),
                                it.at(1).get<std::uint64_t>(), decodeKind(it)};
  };
  CrashReport report;
  for (const json &it : message.at(0)) {
    limits::EarlyBreak event;
    event.Traits.Service = core::ServiceId(it.at(0).get<std::string>());
    event.Runner = core::RunnerId(it.at(1).get<std::string>());
    event.Request = it.at(2).get<std::uint64_t>();
    event.Traits.Segments = it.at(3).get<std::vector<std::uint64_t>>();
    event.At = core::Millis(-it.at(4).get<std::int64_t>());
    if (it.size() > BreakContentIndex)
      event.Traits.Content = it.at(BreakContentIndex).get<std::uint64_t>();
    report.Breaks.push_back(std::move(event));
  }
  for (const json &it : message.at(1))
    report.Survivals.push_back(
        {traitOf(it), core::Millis(-it.at(2).get<std::int64_t>())});
  for (const json &it : message.at(2))
    report.Quarantined.push_back(
        {traitOf(it), core::Millis(it.at(2).get<std::int64_t>())});
  return report;
}

std::optional<rollout::RolloutPhase> phaseOf(int number) {
  using enum rollout::RolloutPhase;
  for (const auto phase : {InProgress, Completed, Reverted}) {
    if (static_cast<int>(phase) == number)
      return phase;
  }
  return std::nullopt;
}

void decodeRollouts(const json &message, PeerReport &report) {
  for (const json &it : message) {
    const auto phase = phaseOf(it.at(3).get<int>());
    if (!phase)
      continue;
    report.Rollouts.push_back({{core::ServiceId(it.at(0).get<std::string>()),
                                core::VersionId(it.at(1).get<std::string>()),
                                core::Millis(it.at(2).get<std::int64_t>())},
                               *phase,
                               it.at(4).get<unsigned>(),
                               core::Millis(it.at(5).get<std::int64_t>())});
  }
}

rollout::RouteEvidenceTable::value_type decodeEvidence(const json &entry) {
  rollout::AnswerCounts counts;
  counts.Sent = entry.at(3).get<std::uint64_t>();
  counts.Judged = entry.at(4).get<std::uint64_t>();
  counts.Failed = entry.at(5).get<std::uint64_t>();
  counts.Broken = entry.at(6).get<std::uint64_t>();
  counts.Timed = entry.at(7).get<std::uint64_t>();
  counts.LogSlowness = entry.at(8).get<double>();
  if (entry.size() > EvidenceIntervalsIndex)
    decode(entry.at(EvidenceIntervalsIndex), counts.Intervals);
  if (entry.size() > EvidenceDurationsIndex)
    decode(entry.at(EvidenceDurationsIndex), counts.Durations);
  return {
      rollout::RouteEvidenceKey{core::ServiceId(entry.at(0).get<std::string>()),
                                core::VersionId(entry.at(1).get<std::string>()),
                                entry.at(2).get<std::string>()},
      counts};
}

PeerReport decode(const json &message) {
  PeerReport report;
  report.Gateway = core::InstanceId(message.at(1).get<std::string>());
  for (const json &it : message.at(2))
    report.Loads.emplace(core::RunnerId(it.at(0).get<std::string>()),
                         route::ServerLoad{it.at(1).get<double>(),
                                           it.at(2).get<unsigned>(),
                                           it.at(3).get<unsigned>()});
  for (const json &it : message.at(3))
    report.Evidence.insert(decodeEvidence(it));
  report.PinnedSessions = message.at(4).get<std::vector<std::uint64_t>>();
  if (!message.at(5).is_null())
    report.ExitsWithin = core::Millis(message.at(5).get<std::int64_t>());
  if (message.size() > ConfigurationIndex)
    report.Configuration =
        core::Generation(message.at(ConfigurationIndex).get<std::uint64_t>());
  if (message.size() > RolloutsIndex)
    decodeRollouts(message.at(RolloutsIndex), report);
  if (message.size() > PromptsIndex) {
    for (const json &it : message.at(PromptsIndex))
      report.Prompts.push_back({it.at(0).get<std::uint64_t>(),
                                core::RunnerId(it.at(1).get<std::string>())});
  }
  if (message.size() > CrashesIndex)
    report.Crashes = decodeCrashes(message.at(CrashesIndex));
  if (message.size() > RateLimitsIndex)
    decodeRateLimits(message.at(RateLimitsIndex), report);
  if (message.size() > ColdRunnersIndex)
    report.Cold = decodeColdRunners(message.at(ColdRunnersIndex));
  if (message.size() > EvacuatedIndex) {
    for (const json &it : message.at(EvacuatedIndex))
      report.Evacuated.insert(core::FailureDomainId(it.get<std::string>()));
  }
  return report;
}

} // namespace

std::string encodePeerReport(const PeerReport &report) {
  const json message = {FormatVersion,
                        report.Gateway.str(),
                        encodeLoads(report),
                        encodeEvidence(report),
                        report.PinnedSessions,
                        report.ExitsWithin ? json(report.ExitsWithin->count())
                                           : json(),
                        report.Configuration.value(),
                        encodeRollouts(report),
                        encodePrompts(report),
                        encodeCrashes(report.Crashes),
                        encodeRateLimits(report),
                        encode(report.Cold),
                        encode(report.Evacuated)};
  std::string bytes;
  json::to_msgpack(message, bytes);
  return bytes;
}

core::Result<PeerReport> decodePeerReport(std::string_view bytes) {
  const auto message = peers::parseMessagePack(bytes);
  if (!message)
    return core::Errc::Malformed;
  try {
    if (message->at(0) != FormatVersion)
      return core::Errc::Malformed;
    return decode(*message);
  } catch (const json::exception &) {
    return core::Errc::Malformed;
  }
}

} // namespace cowslipridge::gateway
