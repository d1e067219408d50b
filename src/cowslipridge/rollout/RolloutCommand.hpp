#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>

namespace cowslipridge::rollout {

/// Command of an operator to move a service to another version.
struct RolloutCommand {
  core::ServiceId Service;
  core::VersionId Target;
  core::Millis Duration; ///< from the command to its deadline
  friend auto operator<=>(const RolloutCommand &,
                          const RolloutCommand &) = default;
};

/// Phase of a roll-out as shown to operators.
enum class RolloutPhase { InProgress, Completed, Reverted };

struct RolloutStatus {
  core::ServiceId Service;
  core::VersionId Target;
  RolloutPhase Phase = RolloutPhase::InProgress;
  friend auto operator<=>(const RolloutStatus &,
                          const RolloutStatus &) = default;
};

/// Progress of a roll-out; shared by all gateways.
struct RolloutProgress {
  core::ServiceId Service;
  core::VersionId Target;
  unsigned Step = 0;
  core::Millis Elapsed; ///< from the command to the start of the step
  friend auto operator<=>(const RolloutProgress &,
                          const RolloutProgress &) = default;
};

} // namespace cowslipridge::rollout
