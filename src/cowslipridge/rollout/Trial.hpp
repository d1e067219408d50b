#pragma once

#include "cowslipridge/rollout/RolloutCommand.hpp"

#include <optional>
#include <set>

namespace cowslipridge::rollout {

/// What one gateway knows of the roll-out of one service.
struct Trial {
  RolloutCommand Command;
  core::Millis StartedAt; ///< monotonic; estimated time of the command
  std::optional<unsigned> Step;
  core::Millis StepStartedAt;
  RolloutPhase Phase = RolloutPhase::InProgress;
  bool Recorded = false;     ///< the store held a record of it
  bool Suspended = false;    ///< found worse here, not yet reverted
  bool TargetServes = false; ///< the command goes back to a serving version
  core::Millis SwitchesAt;   ///< when sessions start to go to the target
  /// Versions that its record names as serving.
  std::set<core::VersionId> Serving;

  [[nodiscard]] core::Millis elapsed(core::Millis now) const {
    return now - StartedAt;
  }
};

} // namespace cowslipridge::rollout
