#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace cowslipridge::route {

/// Attributes of one complete answer, read before any of it is sent to the
/// caller.
struct AnswerAttributes {
  core::VersionId Version;
  std::string FinishReason; ///< from the engine: `stop`, `length`, ...
  std::uint64_t AnswerTokens = 0;
  /// Mean log-probability of the answer's tokens, if the engine returned them
  /// (`logprobs: true` in the request).
  std::optional<double> MeanLogProbability;
};

/// Estimates the quality of an answer, 0..1, without another model call.
///
/// The entry calls this for every complete answer that was not streamed, passes
/// the score to Planner::observe(CheckObservation), and sets
/// `GradeObservation::CheckScore` when the grade of that answer arrives. For a
/// CascadePlan it runs `Cheap` without streaming, accepts the answer if the
/// score is at least `AcceptAbove`, and otherwise runs `Better`, whose grade
/// names the rejected answer in `GradeObservation::Replaced`. The score is
/// uncalibrated: the planner learns from grades which quality each score
/// predicts.
[[nodiscard]] double scoreAnswer(const AnswerAttributes &answer);

} // namespace cowslipridge::route
