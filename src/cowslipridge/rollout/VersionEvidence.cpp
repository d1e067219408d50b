#include "cowslipridge/rollout/VersionEvidence.hpp"

#include <algorithm>

namespace cowslipridge::rollout {

namespace {

void eraseService(RouteEvidenceTable &table, const core::ServiceId &service) {
  std::erase_if(table,
                [&](const auto &it) { return it.first.Service == service; });
}

bool contains(const std::vector<RolloutKnowledge> &known,
              const RolloutCommand &command) {
  return std::any_of(known.begin(), known.end(),
                     [&](const auto &it) { return it.Command == command; });
}

} // namespace

void VersionEvidence::setTrials(const std::vector<RolloutCommand> &commands,
                                core::Millis now) {
  std::erase_if(Trials, [&](const auto &trial) {
    return std::find(commands.begin(), commands.end(), trial.second.Command) ==
           commands.end();
  });
  for (const RolloutCommand &it : commands) {
    if (!Trials.contains(it.Service))
      start(it, now);
  }
}

void VersionEvidence::start(const RolloutCommand &command, core::Millis now) {
  Trials.emplace(command.Service,
                 Trial{command, TrialAssessment(command.Target, now)});
  eraseService(Own, command.Service);
  for (auto &[peer, counts] : Peers)
    eraseService(counts, command.Service);
}

VersionEvidence::Trial *VersionEvidence::find(const core::ServiceId &service) {
  const auto it = Trials.find(service);
  return it == Trials.end() ? nullptr : &it->second;
}

void VersionEvidence::record(const RouteEvidenceKey &key,
                             const AnswerCounts &added, core::Millis now) {
  Own[key] += added;
  if (Trial *trial = find(key.Service))
    trial->Assessment.add(key, added, now);
}

void VersionEvidence::onPeerReport(const core::InstanceId &peer,
                                   const RouteEvidenceTable &counts,
                                   const std::vector<RolloutKnowledge> &known,
                                   core::Millis now) {
  RouteEvidenceTable &before = Peers[peer];
  for (const auto &[key, reported] : counts) {
    Trial *trial = find(key.Service);
    if (trial == nullptr || !contains(known, trial->Command))
      continue;
    AnswerCounts &last = before[key];
    trial->Assessment.add(key, countedSince(last, reported), now);
    last = reported;
  }
}

RouteEvidenceTable VersionEvidence::report() const {
  RouteEvidenceTable counts;
  for (const auto &[key, own] : Own) {
    if (Trials.contains(key.Service))
      counts.emplace(key, own);
  }
  return counts;
}

RouteEvidenceTable VersionEvidence::pooled() const {
  RouteEvidenceTable pooled = Own;
  for (const auto &[peer, counts] : Peers) {
    for (const auto &[key, reported] : counts)
      pooled[key] += reported;
  }
  return pooled;
}

const TrialAssessment *
VersionEvidence::assessment(const core::ServiceId &service) const {
  const auto it = Trials.find(service);
  return it == Trials.end() ? nullptr : &it->second.Assessment;
}

} // namespace cowslipridge::rollout
