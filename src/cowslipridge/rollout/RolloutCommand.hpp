#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>

namespace cowslipridge::rollout {

/// An operator's wish to move a service to another version.
struct RolloutCommand {
  core::ServiceId Service;
  core::VersionId Target;
  core::Millis Duration; ///< from the order to its deadline
  friend auto operator<=>(const RolloutCommand &,
                          const RolloutCommand &) = default;
};

/// What operators are told of a roll-out.
enum class RolloutPhase { InProgress, Completed, Reverted };

struct RolloutStatus {
  core::ServiceId Service;
  core::VersionId Target;
  RolloutPhase Phase = RolloutPhase::InProgress;
  friend auto operator<=>(const RolloutStatus &,
                          const RolloutStatus &) = default;
};

/// How far a roll-out has come; shared by all gateways.
struct RolloutProgress {
  core::ServiceId Service;
  core::VersionId Target;
  unsigned Step = 0;
  core::Millis Elapsed; ///< since the order, when the step was taken
  friend auto operator<=>(const RolloutProgress &,
                          const RolloutProgress &) = default;
};

} // namespace cowslipridge::rollout
