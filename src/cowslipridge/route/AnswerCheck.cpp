#include "cowslipridge/route/AnswerCheck.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::route {

namespace {

/// Score of a complete answer whose engine gave no log-probabilities.
constexpr double PlainAnswerScore = 0.5;
/// Factor for an answer that was cut off at its length limit.
constexpr double CutShortFactor = 0.25;

} // namespace

double scoreAnswer(const AnswerAttributes &answer) {
  if (answer.AnswerTokens == 0)
    return 0;
  double score = PlainAnswerScore;
  if (answer.MeanLogProbability)
    score = std::exp(std::min(0.0, *answer.MeanLogProbability));
  if (answer.FinishReason == "length")
    score *= CutShortFactor;
  return std::clamp(score, 0.0, 1.0);
}

} // namespace cowslipridge::route
