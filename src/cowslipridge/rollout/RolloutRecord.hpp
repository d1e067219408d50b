#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/rollout/ExposureGuard.hpp"

#include <compare>
#include <set>
#include <string>
#include <variant>

namespace cowslipridge::rollout {

/// Stored state of the roll-out of one service. Within one roll-out the step
/// never decreases and cut-offs are never removed.
struct RolloutRecord {
  core::Generation Configuration; ///< declares this roll-out
  core::VersionId Trial;
  core::VersionId Replaces;
  unsigned Step = 0; ///< number of complete steps
  std::set<CutOff> CutOffs;
  friend auto operator<=>(const RolloutRecord &,
                          const RolloutRecord &) = default;
};

/// The trial version gets the share of requests of step `Step`.
struct RolloutRunning {
  unsigned Step = 0;
  double Share = 0;
  friend auto operator<=>(const RolloutRunning &,
                          const RolloutRunning &) = default;
};
/// All steps are complete; the trial version gets all requests that its
/// exposure credits allow.
struct RolloutComplete {
  friend auto operator<=>(const RolloutComplete &,
                          const RolloutComplete &) = default;
};
/// The trial version is cut off for all organisations.
struct RolloutCutOff {
  std::string Reason;
  friend auto operator<=>(const RolloutCutOff &,
                          const RolloutCutOff &) = default;
};

using RolloutState =
    std::variant<RolloutRunning, RolloutComplete, RolloutCutOff>;

/// Returns the state that a record describes.
RolloutState stateOf(const RolloutRecord &record,
                     const config::RolloutDeclaration &declared);

/// Returns the record to continue from: `stored` if it belongs to the declared
/// roll-out, else a new record. Returns nothing if `stored` belongs to another
/// roll-out of a configuration that is not older than `generation`: the
/// configuration of the caller is stale, and the caller must not write.
std::optional<RolloutRecord>
currentRecord(const std::optional<RolloutRecord> &stored,
              const config::RolloutDeclaration &declared,
              core::Generation generation);

/// Returns the record after `action`. It is unchanged if the action was applied
/// before or concerns another roll-out.
RolloutRecord apply(RolloutRecord record, const RolloutAction &action);

std::string encodeRecord(const RolloutRecord &record);
/// Returns the decoded record or Errc::Malformed.
core::Result<RolloutRecord> decodeRecord(const std::string &text);

} // namespace cowslipridge::rollout
