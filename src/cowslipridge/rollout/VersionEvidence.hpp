#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/rollout/RolloutCommand.hpp"
#include "cowslipridge/rollout/TrialAssessment.hpp"

#include <map>
#include <vector>

namespace cowslipridge::rollout {

/// Everything that is known about the answers of versions: the counts of this
/// gateway, those that other gateways report, and what they show about the
/// versions on trial.
///
/// Evidence counts toward the command under which it was gathered. What a
/// gateway has reported stays known to the others when it restarts.
class VersionEvidence {
public:
  /// Sets the roll-outs in progress. One that is new starts without evidence.
  void setTrials(const std::vector<RolloutCommand> &commands, core::Millis now);
  /// Adds what this gateway has counted.
  void record(const RouteEvidenceKey &key, const AnswerCounts &added,
              core::Millis now);
  /// Handles the counts of another gateway, and the roll-outs that it knows.
  void onPeerReport(const core::InstanceId &peer,
                    const RouteEvidenceTable &counts,
                    const std::vector<RolloutKnowledge> &known,
                    core::Millis now);

  /// Returns this gateway's counts on the services with a roll-out.
  [[nodiscard]] RouteEvidenceTable report() const;
  /// Returns the sum of the counts of this gateway and of its peers.
  [[nodiscard]] RouteEvidenceTable pooled() const;
  /// Returns what is known about the version on trial; null if there is none.
  [[nodiscard]] const TrialAssessment *
  assessment(const core::ServiceId &service) const;

private:
  struct Trial {
    RolloutCommand Command;
    TrialAssessment Assessment;
  };

  void start(const RolloutCommand &command, core::Millis now);
  [[nodiscard]] Trial *find(const core::ServiceId &service);

  std::map<core::ServiceId, Trial> Trials;
  RouteEvidenceTable Own;
  std::map<core::InstanceId, RouteEvidenceTable> Peers;
};

} // namespace cowslipridge::rollout
