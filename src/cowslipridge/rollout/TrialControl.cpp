#include "cowslipridge/rollout/TrialControl.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace cowslipridge::rollout {

namespace {

/// One step: from which part of the roll-out's time on, and which share of the
/// sessions.
struct TrialStep {
  double From;
  double Share;
};

// Sessions stay on their side through the first half. The shares of the second
// half keep the requests that a bad version gets within what operators bear,
// while evidence of one step is in before the next.
constexpr std::array<TrialStep, 4> Steps = {
    {{0, 0.08}, {0.52, 0.25}, {0.60, 0.5}, {0.67, 1}}};
/// Part of the exposure that the first step uses: sessions differ in size.
constexpr double FirstExposurePart = 0.6;
/// Part of the time that all sessions are on the target at least, for the last
/// of the others to be seen.
constexpr double LastStepPart = 0.04;
/// Old runners are stopped at completion, whatever still runs there.
constexpr double LatestCompletion = 0.93;
/// From a roll-out's record until sessions go to the target: gateways tell each
/// other which sessions are under way.
constexpr core::Millis SettleTime{700};
/// Gateways later in rank act only when the ones before them did not.
constexpr core::Millis RankDelay{600};

double partOf(core::Millis elapsed, core::Millis whole) {
  return static_cast<double>(elapsed.count()) /
         static_cast<double>(whole.count());
}

AnswerCounts sumOf(const RouteEvidenceTable &evidence,
                   const RolloutCommand &order, bool target,
                   const std::string *route) {
  AnswerCounts sum;
  for (const auto &[key, counts] : evidence) {
    const bool fits = key.Service == order.Service &&
                      (key.Version == order.Target) == target &&
                      (route == nullptr || key.Route == *route);
    if (fits)
      sum += counts;
  }
  return sum;
}

// Looked at as a whole and route by route: a version may be bad on one alone.
std::optional<std::string> faultOf(const RouteEvidenceTable &evidence,
                                   const RolloutCommand &order) {
  if (isWorse(sumOf(evidence, order, true, nullptr),
              sumOf(evidence, order, false, nullptr)))
    return "worse than the stable version";
  for (const auto &[key, counts] : evidence) {
    if (key.Service != order.Service || key.Version != order.Target)
      continue;
    if (isWorse(counts, sumOf(evidence, order, false, &key.Route)))
      return "worse than the stable version on route " + key.Route;
  }
  return std::nullopt;
}

} // namespace

void TrialControl::onCommand(const RolloutCommand &order, core::Millis now) {
  const auto known = Trials.find(order.Service);
  if (known != Trials.end() && known->second.Order == order)
    return;
  Trial trial;
  trial.Order = order;
  trial.Began = now;
  const auto status = Statuses.find(order.Service);
  if (status != Statuses.end() && status->second.Target == order.Target) {
    trial.Phase = status->second.Phase;
    trial.Recorded = true;
  }
  const auto progress = Progresses.find(order.Service);
  if (progress != Progresses.end() &&
      progress->second.first.Target == order.Target) {
    trial.Step = progress->second.first.Step;
    trial.Began = progress->second.second - progress->second.first.Elapsed;
  }
  Trials.insert_or_assign(order.Service, trial);
}

void TrialControl::onWithdrawn(const core::ServiceId &service) {
  Trials.erase(service);
}

void TrialControl::onStatus(const RolloutStatus &status, core::Millis now) {
  Statuses.insert_or_assign(status.Service, status);
  if (status.Phase == RolloutPhase::Reverted)
    Reverted.emplace(status.Service, status.Target);
  const auto it = Trials.find(status.Service);
  if (it == Trials.end() || it->second.Order.Target != status.Target)
    return;
  if (!it->second.Recorded)
    it->second.BeginsAt = now + SettleTime;
  it->second.Phase = status.Phase;
  it->second.Recorded = true;
}

void TrialControl::onProgress(const RolloutProgress &progress,
                              core::Millis now) {
  Progresses.insert_or_assign(progress.Service, std::pair(progress, now));
  const auto it = Trials.find(progress.Service);
  if (it != Trials.end() && it->second.Order.Target == progress.Target)
    it->second.Step = progress.Step;
}

const TrialControl::Trial *
TrialControl::find(const core::ServiceId &service) const {
  const auto it = Trials.find(service);
  return it == Trials.end() ? nullptr : &it->second;
}

TrialControl::Selection TrialControl::choose(const core::ServiceId &service,
                                             std::uint64_t sessionHash,
                                             core::Millis now) const {
  const Trial *trial = find(service);
  if (trial == nullptr)
    return {};
  const core::VersionId &target = trial->Order.Target;
  if (trial->Phase == RolloutPhase::Completed)
    return {Choice::Target, target};
  const bool begun = trial->Recorded && now >= trial->BeginsAt;
  if (trial->Phase == RolloutPhase::Reverted || !begun)
    return {Choice::Stable, target};
  return {isAssignedToTarget(service, sessionHash) ? Choice::Target
                                                   : Choice::Stable,
          target};
}

bool TrialControl::isAssignedToTarget(const core::ServiceId &service,
                                      std::uint64_t sessionHash) const {
  const double point =
      static_cast<double>(sessionHash) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return point < targetShare(service);
}

std::optional<core::VersionId>
TrialControl::activeTarget(const core::ServiceId &service) const {
  const Trial *trial = find(service);
  if (trial == nullptr || trial->Phase != RolloutPhase::InProgress)
    return std::nullopt;
  return trial->Order.Target;
}

double TrialControl::targetShare(const core::ServiceId &service) const {
  const Trial *trial = find(service);
  if (trial == nullptr || !trial->Recorded)
    return 0;
  const std::size_t step =
      std::min<std::size_t>(trial->Step.value_or(0), Steps.size() - 1);
  const double share = Steps.at(step).Share;
  return step == 0 ? std::min(share, FirstExposurePart * ExposureFraction)
                   : share;
}

bool TrialControl::isBanned(const core::ServiceId &service,
                            const core::VersionId &version) const {
  return Reverted.contains({service, version});
}

bool TrialControl::hasStickySessions(const core::ServiceId &service,
                                     core::Millis now) const {
  const Trial *trial = find(service);
  return trial != nullptr && trial->Phase == RolloutPhase::InProgress &&
         partOf(now - trial->Began, trial->Order.Duration) <= Steps[1].From;
}

std::vector<core::ServiceId> TrialControl::activeRollouts() const {
  std::vector<core::ServiceId> services;
  for (const auto &[service, trial] : Trials) {
    if (trial.Phase == RolloutPhase::InProgress)
      services.push_back(service);
  }
  return services;
}

std::optional<TrialDecision> TrialControl::next(const core::ServiceId &service,
                                                const Observation &observation,
                                                core::Millis now) const {
  const Trial *trial = find(service);
  if (trial == nullptr || trial->Phase != RolloutPhase::InProgress)
    return std::nullopt;
  const RolloutCommand &order = trial->Order;
  const core::Millis elapsed = now - trial->Began;
  const unsigned step = trial->Step.value_or(0);
  const auto decide = [&](RolloutPhase verdict, unsigned to,
                          std::string reason) {
    return TrialDecision{{service, order.Target, verdict},
                         {service, order.Target, to, elapsed},
                         std::move(reason)};
  };
  if (const auto fault = faultOf(observation.Evidence, order))
    return decide(RolloutPhase::Reverted, step, *fault);
  const core::Millis mine =
      elapsed - RankDelay * static_cast<std::int64_t>(observation.Rank);
  if (mine < core::Millis())
    return std::nullopt;
  if (!trial->Recorded)
    return decide(RolloutPhase::InProgress, 0, "ordered");
  const double part = partOf(mine, order.Duration);
  const bool last = step + 1 >= Steps.size();
  if (!last && part >= Steps.at(step + 1).From && observation.TargetHasRunner)
    return decide(RolloutPhase::InProgress, step + 1, "step is due");
  const bool emptied = part >= Steps.back().From + LastStepPart &&
                       observation.StableInFlight == 0;
  if (last && observation.TargetHasRunner &&
      (emptied || part >= LatestCompletion))
    return decide(RolloutPhase::Completed, step,
                  emptied ? "no request is left on the stable version"
                          : "the deadline is near");
  if (part >= 1)
    return decide(RolloutPhase::Reverted, step, "not done in time");
  return std::nullopt;
}

} // namespace cowslipridge::rollout
