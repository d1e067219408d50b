#include "cowslipridge/rollout/TrialControl.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace cowslipridge::rollout {

namespace {

/// One step of a roll-out.
struct TrialStep {
  double StartFraction; ///< fraction of the duration from which the step is due
  double Share;         ///< share of the sessions that go to the target
};

// Sessions stay on the target or on the stable versions through the first half.
// The shares of the second half limit the requests that a bad version gets to
// what operators accept, and leave time for the evidence of one step to arrive
// before the next.
constexpr std::array<TrialStep, 4> Steps = {
    {{0, 0.08}, {0.52, 0.25}, {0.60, 0.5}, {0.67, 1}}};
/// Share of the permitted exposure that the first step uses; the rest is a
/// margin, because sessions differ in size.
constexpr double FirstStepExposureShare = 0.6;
/// Minimum fraction of the duration that all sessions are on the target before
/// completion, so that the last requests on other versions are seen.
constexpr double MinLastStepFraction = 0.04;
/// Minimum fraction of the duration between two steps, in which a version that
/// turns bad shows it.
constexpr double MinStepFraction = 0.04;
/// Fraction of the duration at which the roll-out is completed even if requests
/// still run on old runners, which are stopped then.
constexpr double ForcedCompletionFraction = 0.93;
/// Time from the first record of a roll-out until sessions go to the target, in
/// which gateways exchange their active sessions.
constexpr core::Millis SessionExchangeTime{700};
/// Delay per rank after which a gateway acts, so that it does so only if the
/// gateways of lower rank did not.
constexpr core::Millis RankDelay{600};

/// Delay of the first record by a gateway that doesn't know which versions
/// serve.
constexpr core::Millis UnknownServingDelay{1'000};

double fractionOf(core::Millis elapsed, core::Millis total) {
  return static_cast<double>(elapsed.count()) /
         static_cast<double>(total.count());
}

} // namespace

void TrialControl::onCommand(const RolloutCommand &command, core::Millis now) {
  HeldCommands.erase(command.Service);
  const auto known = Trials.find(command.Service);
  if (known != Trials.end() && known->second.Command == command)
    return;
  abandon(command.Service);
  onReplacedRecord(command);
  KnownVersions &versions = Versions[command.Service];
  versions.onCommanded(command.Target);
  Trial trial;
  trial.Command = command;
  trial.TargetServes = versions.serves(command.Target);
  trial.StartedAt = now;
  const auto status = Statuses.find(command.Service);
  if (status != Statuses.end() && status->second.Target == command.Target) {
    trial.Phase = status->second.Phase;
    trial.Recorded = true;
  }
  const auto progress = Progresses.find(command.Service);
  if (progress != Progresses.end() &&
      progress->second.first.Target == command.Target) {
    trial.Step = progress->second.first.Step;
    trial.StartedAt = progress->second.second - progress->second.first.Elapsed;
    trial.Serving = progress->second.first.Serving;
  }
  Trials.insert_or_assign(command.Service, trial);
}

void TrialControl::onWithdrawn(const core::ServiceId &service) {
  HeldCommands.erase(service);
  abandon(service);
  Trials.erase(service);
}

void TrialControl::abandon(const core::ServiceId &service) {
  const Trial *trial = find(service);
  const bool isUndecided = trial != nullptr && !trial->TargetServes &&
                           trial->Phase == RolloutPhase::InProgress;
  if (isUndecided)
    Versions[service].onAbandoned(trial->Command.Target);
}

// A gateway that has just started knows the roll-out before only by its record.
void TrialControl::onReplacedRecord(const RolloutCommand &command) {
  const auto status = Statuses.find(command.Service);
  const bool isUndecided = status != Statuses.end() &&
                           status->second.Target != command.Target &&
                           status->second.Phase == RolloutPhase::InProgress;
  if (isUndecided)
    Versions[command.Service].onAbandoned(status->second.Target);
}

void TrialControl::onOnlyVersion(const core::ServiceId &service,
                                 const core::VersionId &version) {
  const bool isOnTrial = activeTarget(service) == version;
  if (!isOnTrial)
    Versions[service].onServing(version);
}

void TrialControl::onRegistered(const core::ServiceId &service,
                                const std::set<core::VersionId> &versions,
                                core::Millis now) {
  KnownVersions &known = Versions[service];
  if (!activeTarget(service))
    known.onRegistered(versions, now);
  else
    known.onRolloutInProgress();
  if (versions.size() == 1)
    onOnlyVersion(service, *versions.begin());
}

const KnownVersions *
TrialControl::knownVersions(const core::ServiceId &service) const {
  const auto it = Versions.find(service);
  return it == Versions.end() ? nullptr : &it->second;
}

bool TrialControl::isUnproved(const core::ServiceId &service,
                              const core::VersionId &version) const {
  const KnownVersions *known = knownVersions(service);
  const Trial *trial = find(service);
  if (known == nullptr || trial == nullptr)
    return known != nullptr && known->isAbandoned(version);
  const auto serving =
      trial->Serving.empty() ? known->serving() : trial->Serving;
  const bool isOther = !serving.empty() && !serving.contains(version) &&
                       trial->Command.Target != version;
  return isOther || known->isAbandoned(version);
}

TrialControl::Trial *TrialControl::findTo(const core::ServiceId &service,
                                          const core::VersionId &target) {
  const auto it = Trials.find(service);
  return it != Trials.end() && it->second.Command.Target == target ? &it->second
                                                                   : nullptr;
}

// A final phase stays: a record that shows an earlier one is from a copy.
void TrialControl::recordPhase(Trial &trial, RolloutPhase phase,
                               core::Millis now) {
  if (!std::exchange(trial.Recorded, true))
    trial.SwitchesAt = now + SessionExchangeTime;
  if (trial.Phase == RolloutPhase::InProgress)
    trial.Phase = phase;
  KnownVersions &versions = Versions[trial.Command.Service];
  if (trial.Phase == RolloutPhase::Reverted)
    versions.onReverted(trial.Command.Target);
  if (trial.Phase == RolloutPhase::Completed)
    versions.onServing(trial.Command.Target);
}

void TrialControl::recordStep(Trial &trial, unsigned step, core::Millis now) {
  if (trial.Step && step <= *trial.Step)
    return;
  trial.Step = step;
  trial.StepStartedAt = now;
}

void TrialControl::onStatus(const RolloutStatus &status, core::Millis now) {
  Statuses.insert_or_assign(status.Service, status);
  if (status.Phase == RolloutPhase::Reverted)
    Versions[status.Service].onReverted(status.Target);
  if (status.Phase == RolloutPhase::Completed)
    Versions[status.Service].onServing(status.Target);
  if (Trial *trial = findTo(status.Service, status.Target))
    recordPhase(*trial, status.Phase, now);
}

void TrialControl::onProgress(const RolloutProgress &progress,
                              core::Millis now) {
  Progresses.insert_or_assign(progress.Service, std::pair(progress, now));
  recordServing(progress);
  if (Trial *trial = findTo(progress.Service, progress.Target))
    recordStep(*trial, progress.Step, now);
}

void TrialControl::recordServing(const RolloutProgress &progress) {
  for (const core::VersionId &it : progress.Serving)
    Versions[progress.Service].onServing(it);
  Trial *trial = findTo(progress.Service, progress.Target);
  if (trial != nullptr && trial->Serving.empty())
    trial->Serving = progress.Serving;
}

std::set<core::VersionId>
TrialControl::servingVersions(const Trial &trial,
                              const Observation &observation) const {
  if (!trial.Serving.empty())
    return trial.Serving;
  const KnownVersions *known = knownVersions(trial.Command.Service);
  return known == nullptr ? std::set<core::VersionId>()
                          : known->serving(observation.Registered);
}

void TrialControl::onListed(const RolloutList &list, core::Millis now) {
  Statuses.clear();
  Progresses.clear();
  for (const RolloutStatus &it : list.Statuses)
    onStatus(it, now);
  for (const RolloutProgress &it : list.Progresses)
    onProgress(it, now);
  if (list.AfterRestore) {
    RestoredAt = now;
    for (const RolloutCommand &it : list.Commands)
      onListedCommand(it, now);
    return;
  }
  std::erase_if(Trials, [&](const auto &trial) {
    return std::none_of(
        list.Commands.begin(), list.Commands.end(),
        [&](const auto &it) { return it.Service == trial.first; });
  });
  for (const RolloutCommand &it : list.Commands)
    onCommand(it, now);
}

void TrialControl::onListedCommand(const RolloutCommand &command,
                                   core::Millis now) {
  const Trial *known = find(command.Service);
  if (known == nullptr || known->Command == command)
    onCommand(command, now);
  else
    HeldCommands.insert_or_assign(
        command.Service, HeldCommand{command, now + CommandRewritePeriod});
}

std::vector<core::ServiceId> TrialControl::tick(core::Millis now) {
  std::vector<RolloutCommand> due;
  for (const auto &[service, held] : HeldCommands) {
    if (now >= held.AppliesAt)
      due.push_back(held.Command);
  }
  std::vector<core::ServiceId> services;
  for (const RolloutCommand &it : due) {
    onCommand(it, now);
    services.push_back(it.Service);
  }
  return services;
}

void TrialControl::onPeerKnowledge(const std::vector<RolloutKnowledge> &known,
                                   core::Millis now) {
  for (const RolloutKnowledge &it : known) {
    Trial *trial = findTo(it.Command.Service, it.Command.Target);
    if (trial == nullptr || trial->Command != it.Command)
      continue;
    recordPhase(*trial, it.Phase, now);
    recordStep(*trial, it.Step, now);
    trial->StartedAt = std::min(trial->StartedAt, now - it.Elapsed);
  }
}

std::vector<RolloutKnowledge> TrialControl::knowledge(core::Millis now) const {
  std::vector<RolloutKnowledge> known;
  for (const auto &[service, trial] : Trials) {
    if (trial.Recorded)
      known.push_back({trial.Command, trial.Phase, trial.Step.value_or(0),
                       now - trial.StartedAt});
  }
  return known;
}

bool TrialControl::isRecordLost(const Trial &trial) const {
  if (!RestoredAt || !trial.Recorded)
    return false;
  const RolloutCommand &command = trial.Command;
  const auto status = Statuses.find(command.Service);
  const auto progress = Progresses.find(command.Service);
  return status == Statuses.end() || progress == Progresses.end() ||
         status->second.Target != command.Target ||
         progress->second.first.Target != command.Target ||
         (status->second.Phase == RolloutPhase::InProgress &&
          trial.Phase != RolloutPhase::InProgress) ||
         progress->second.first.Step < trial.Step.value_or(0);
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
  const core::VersionId &target = trial->Command.Target;
  if (trial->Phase == RolloutPhase::Completed || trial->TargetServes)
    return {Choice::Target, target};
  const bool hasSwitched = trial->Recorded && now >= trial->SwitchesAt;
  if (trial->Phase == RolloutPhase::Reverted || trial->Suspended ||
      !hasSwitched)
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
  return trial->Command.Target;
}

double TrialControl::targetShare(const core::ServiceId &service) const {
  const Trial *trial = find(service);
  if (trial == nullptr || !trial->Recorded)
    return 0;
  return shareOfStep(trial->Step.value_or(0));
}

double TrialControl::shareOfStep(std::size_t step) const {
  const double share = Steps.at(std::min(step, Steps.size() - 1)).Share;
  return step == 0 ? std::min(share, FirstStepExposureShare * Exposure.Fraction)
                   : share;
}

bool TrialControl::isBanned(const core::ServiceId &service,
                            const core::VersionId &version) const {
  const KnownVersions *known = knownVersions(service);
  return known != nullptr && known->isReverted(version);
}

bool TrialControl::hasStickySessions(const core::ServiceId &service,
                                     core::Millis now) const {
  const Trial *trial = find(service);
  return trial != nullptr && trial->Phase == RolloutPhase::InProgress &&
         fractionOf(now - trial->StartedAt, trial->Command.Duration) <=
             Steps[1].StartFraction;
}

std::vector<core::ServiceId> TrialControl::undecidedRollouts() const {
  std::vector<core::ServiceId> services;
  for (const auto &[service, trial] : Trials) {
    if (trial.Phase == RolloutPhase::InProgress || isRecordLost(trial))
      services.push_back(service);
  }
  return services;
}

std::vector<core::ServiceId> TrialControl::activeRollouts() const {
  std::vector<core::ServiceId> services;
  for (const auto &[service, trial] : Trials) {
    if (trial.Phase == RolloutPhase::InProgress)
      services.push_back(service);
  }
  return services;
}

std::vector<RolloutCommand> TrialControl::activeCommands() const {
  std::vector<RolloutCommand> commands;
  for (const auto &[service, trial] : Trials) {
    if (trial.Phase == RolloutPhase::InProgress)
      commands.push_back(trial.Command);
  }
  return commands;
}

void TrialControl::suspend(const core::ServiceId &service) {
  const auto trial = Trials.find(service);
  if (trial != Trials.end())
    trial->second.Suspended = true;
}

TrialControl::Review TrialControl::review(const Trial &trial,
                                          const Observation &observation,
                                          core::Millis now) const {
  const core::Millis elapsed = now - trial.StartedAt;
  const core::Millis rankDelay =
      RankDelay * static_cast<std::int64_t>(observation.Rank);
  Review review{trial, observation, {}, {}, elapsed - rankDelay};
  review.Progress = {
      {}, targetShare(trial.Command.Service), elapsed, trial.Command.Duration};
  if (observation.Evidence == nullptr) {
    review.Progress.Exposed.Observed = elapsed;
    return review;
  }
  review.Verdict = observation.Evidence->verdict();
  review.Progress.Exposed = observation.Evidence->exposure(now);
  return review;
}

bool TrialControl::mayBegin(const Review &review) const {
  constexpr std::size_t TargetAndOneOther = 2;
  return review.Seen.Registered.size() <= TargetAndOneOther ||
         !servingVersions(review.Subject, review.Seen).empty() ||
         review.ElapsedForRank >= UnknownServingDelay;
}

std::optional<std::string>
TrialControl::reasonToRevert(const Review &review) const {
  if (review.Subject.TargetServes)
    return std::nullopt;
  const auto &[finding, reason] = review.Verdict;
  if (finding == TrialFinding::Worse)
    return reason + " than the stable version";
  const bool isUnproved =
      finding != TrialFinding::Sound && review.Subject.Step.value_or(0) > 0;
  if (isUnproved && isNearlyUsedUp(Exposure, review.Progress))
    return "the exposure limit is reached: " + reason;
  return std::nullopt;
}

std::optional<std::string>
TrialControl::reasonToAdvance(const Review &review, core::Millis now) const {
  const unsigned next = review.Subject.Step.value_or(0) + 1;
  if (next >= Steps.size() || !review.Seen.TargetHasRunner)
    return std::nullopt;
  const core::Millis duration = review.Subject.Command.Duration;
  const TrialStep &step = Steps.at(next);
  const bool isDue =
      fractionOf(review.ElapsedForRank, duration) >= step.StartFraction &&
      fractionOf(now - review.Subject.StepStartedAt, duration) >=
          MinStepFraction;
  if (!isDue)
    return std::nullopt;
  if (review.Verdict.Finding == TrialFinding::Sound)
    return "step is due, " + review.Verdict.Reason;
  if (review.Verdict.Finding == TrialFinding::Unknown &&
      staysWithin(Exposure, review.Progress, shareOfStep(next)))
    return "step is due, few requests";
  return std::nullopt;
}

std::optional<TrialDecision> TrialControl::next(const core::ServiceId &service,
                                                const Observation &observation,
                                                core::Millis now) const {
  const Trial *trial = find(service);
  if (trial == nullptr)
    return std::nullopt;
  const RolloutCommand &command = trial->Command;
  const Review look = review(*trial, observation, now);
  const unsigned step = trial->Step.value_or(0);
  const auto decide = [&](RolloutPhase phase, unsigned to, std::string reason) {
    if (observation.Evidence != nullptr)
      reason += ", " + observation.Evidence->describe();
    return TrialDecision{{service, command.Target, phase},
                         {service, command.Target, to, look.Progress.Elapsed,
                          servingVersions(*trial, observation)},
                         std::move(reason)};
  };
  if (isRecordLost(*trial)) {
    if (now - *RestoredAt < look.Progress.Elapsed - look.ElapsedForRank)
      return std::nullopt;
    return decide(trial->Phase, step, "the store has lost the record");
  }
  const bool mayDecide =
      !RestoredAt || now - *RestoredAt >= RecordRewritePeriod;
  if (trial->Phase != RolloutPhase::InProgress || !mayDecide)
    return std::nullopt;
  if (const auto reason = reasonToRevert(look))
    return decide(RolloutPhase::Reverted, step, *reason);
  if (look.ElapsedForRank < core::Millis())
    return std::nullopt;
  constexpr unsigned LastStep = Steps.size() - 1;
  if (trial->TargetServes && (!trial->Recorded || step < LastStep))
    return decide(RolloutPhase::InProgress, LastStep, "the target serves");
  if (!trial->Recorded && !mayBegin(look))
    return std::nullopt;
  if (!trial->Recorded)
    return decide(RolloutPhase::InProgress, 0, "ordered");
  if (const auto reason = reasonToAdvance(look, now))
    return decide(RolloutPhase::InProgress, step + 1, *reason);
  const double fraction = fractionOf(look.ElapsedForRank, command.Duration);
  const bool last = step >= LastStep;
  const bool drained =
      fraction >= Steps.back().StartFraction + MinLastStepFraction &&
      observation.StableInFlight == 0;
  const bool mayComplete = trial->TargetServes ||
                           look.Verdict.Finding == TrialFinding::Sound ||
                           (look.Verdict.Finding == TrialFinding::Unknown &&
                            isQuiet(Exposure, look.Progress));
  if (last && mayComplete && observation.TargetHasRunner &&
      (drained || fraction >= ForcedCompletionFraction))
    return decide(RolloutPhase::Completed, step,
                  drained ? "no request is left on the stable version"
                          : "the deadline is near");
  if (fraction >= 1 && !trial->TargetServes)
    return decide(RolloutPhase::Reverted, step,
                  "not done in time: " + look.Verdict.Reason);
  return std::nullopt;
}

} // namespace cowslipridge::rollout
