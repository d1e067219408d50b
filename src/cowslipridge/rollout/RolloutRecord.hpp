#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/rollout/ExposureGuard.hpp"

#include <compare>
#include <set>
#include <string>
#include <variant>

namespace cowslipridge::rollout {

/// The stored state of one service's roll-out. Within one roll-out the step
/// only rises and cut-offs are only added.
struct RolloutRecord {
  core::Generation Configuration; ///< that declared this roll-out
  core::VersionId Trial;
  core::VersionId Replaces;
  unsigned Step = 0; ///< steps that are complete
  std::set<CutOff> CutOffs;
  friend auto operator<=>(const RolloutRecord &,
                          const RolloutRecord &) = default;
};

/// The trial takes the share of step `Step`.
struct RolloutRunning {
  unsigned Step = 0;
  double Share = 0;
  friend auto operator<=>(const RolloutRunning &,
                          const RolloutRunning &) = default;
};
/// All steps are complete; the trial takes all that it may.
struct RolloutComplete {
  friend auto operator<=>(const RolloutComplete &,
                          const RolloutComplete &) = default;
};
/// The trial is cut off for all organisations.
struct RolloutCutOff {
  std::string Reason;
  friend auto operator<=>(const RolloutCutOff &,
                          const RolloutCutOff &) = default;
};

using RolloutState =
    std::variant<RolloutRunning, RolloutComplete, RolloutCutOff>;

/// The state that a record describes.
RolloutState stateOf(const RolloutRecord &record,
                     const config::RolloutDeclaration &declared);

/// The record to go on from: `stored` when it belongs to the declared
/// roll-out, otherwise a fresh one. Nothing when `stored` is of a newer
/// configuration than `generation`: the caller is behind and must not write.
std::optional<RolloutRecord>
currentRecord(const std::optional<RolloutRecord> &stored,
              const config::RolloutDeclaration &declared,
              core::Generation generation);

/// The record after `action`; unchanged when it was done already or concerns
/// another roll-out.
RolloutRecord apply(RolloutRecord record, const RolloutAction &action);

std::string encodeRecord(const RolloutRecord &record);
/// The record, or Errc::Malformed.
core::Result<RolloutRecord> decodeRecord(const std::string &text);

} // namespace cowslipridge::rollout
