#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <set>
#include <vector>

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
  /// Versions that serve without a trial, as far as the gateway knew that began
  /// the roll-out. Empty: unknown.
  std::set<core::VersionId> Serving{};
  friend auto operator<=>(const RolloutProgress &,
                          const RolloutProgress &) = default;
};

/// How far a roll-out has come, as one gateway knows it.
struct RolloutKnowledge {
  RolloutCommand Command;
  RolloutPhase Phase = RolloutPhase::InProgress;
  unsigned Step = 0;
  core::Millis Elapsed; ///< since the command
  friend auto operator<=>(const RolloutKnowledge &,
                          const RolloutKnowledge &) = default;
};

/// All roll-outs in the store.
struct RolloutList {
  std::vector<RolloutCommand> Commands;
  std::vector<RolloutStatus> Statuses;
  std::vector<RolloutProgress> Progresses;
  /// The store was restored from an older copy: the list may lack recent
  /// commands and records, and hold ones that were replaced since.
  bool AfterRestore = false;
  friend auto operator<=>(const RolloutList &, const RolloutList &) = default;
};

} // namespace cowslipridge::rollout
