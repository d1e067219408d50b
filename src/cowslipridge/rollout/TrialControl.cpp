#include "cowslipridge/rollout/TrialControl.hpp"

#include "cowslipridge/rollout/TrialSteps.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace cowslipridge::rollout {

namespace {

/// Time from the first record of a roll-out until sessions go to the target, in
/// which gateways exchange their active sessions.
constexpr core::Millis SessionExchangeTime{700};
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

Trial *TrialControl::findTo(const core::ServiceId &service,
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

const Trial *TrialControl::find(const core::ServiceId &service) const {
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
  return trialStep(trial->Step.value_or(0), Exposure).Share;
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
         rollout::hasStickySessions(*trial, now);
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

std::optional<TrialDecision> TrialControl::next(const core::ServiceId &service,
                                                const Observation &observation,
                                                core::Millis now) const {
  const Trial *trial = find(service);
  if (trial == nullptr)
    return std::nullopt;
  const auto serving = servingVersions(*trial, observation);
  const TrialReview review(*trial, observation, Exposure, !serving.empty(),
                           now);
  const auto decide = [&](TrialMove move) {
    if (observation.Evidence != nullptr)
      move.Reason += ", " + observation.Evidence->describe();
    const core::VersionId &target = trial->Command.Target;
    return TrialDecision{
        {service, target, move.Phase},
        {service, target, move.Step, review.elapsed(), serving},
        std::move(move.Reason)};
  };
  if (isRecordLost(*trial)) {
    if (now - *RestoredAt < review.rankDelay())
      return std::nullopt;
    return decide({trial->Phase, trial->Step.value_or(0),
                   "the store has lost the record"});
  }
  const bool mayDecide =
      !RestoredAt || now - *RestoredAt >= RecordRewritePeriod;
  if (trial->Phase != RolloutPhase::InProgress || !mayDecide)
    return std::nullopt;
  auto move = review.due();
  return move ? std::optional(decide(std::move(*move))) : std::nullopt;
}

} // namespace cowslipridge::rollout
