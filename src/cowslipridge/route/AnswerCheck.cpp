#include "cowslipridge/route/AnswerCheck.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::route {

namespace {

/// Score of a complete answer whose engine returned no log-probabilities.
constexpr double DefaultScore = 0.5;
/// Score factor for an answer that was truncated at its length limit.
constexpr double TruncationFactor = 0.25;

} // namespace

double scoreAnswer(const AnswerAttributes &answer) {
  if (answer.AnswerTokens == 0)
    return 0;
  double score = DefaultScore;
  if (answer.MeanLogProbability)
    score = std::exp(std::min(0.0, *answer.MeanLogProbability));
  if (answer.FinishReason == "length")
    score *= TruncationFactor;
  return std::clamp(score, 0.0, 1.0);
}

} // namespace cowslipridge::route
