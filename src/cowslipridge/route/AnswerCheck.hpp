#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace cowslipridge::route {

/// What the shell saw of one complete answer, before any of it was sent to the
/// caller.
struct AnswerAttributes {
  core::VersionId Version;
  std::string FinishReason; ///< the engine's: `stop`, `length`, ...
  std::uint64_t AnswerTokens = 0;
  /// Mean log-probability of the answer's tokens, when the engine gave them
  /// (`logprobs: true` in the request).
  std::optional<double> MeanLogProbability;
};

/// How much an answer looks like a good one, 0..1, without another model call.
///
/// The shell calls this for every whole answer that was not streamed, hands the
/// score to Planner::observe(CheckObservation), and puts it in
/// `GradeObservation::CheckScore` when the grade of that answer arrives. For a
/// CascadePlan it runs `Cheap` without streaming, keeps the answer when the
/// score is at least `AcceptAbove`, and otherwise runs `Better`, whose grade
/// names the rejected answer in `GradeObservation::Replaced`. The score needs
/// no scale of its own: the planner learns from grades what each score is
/// worth.
[[nodiscard]] double scoreAnswer(const AnswerAttributes &answer);

} // namespace cowslipridge::route
