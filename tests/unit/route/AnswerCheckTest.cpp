#include "cowslipridge/route/AnswerCheck.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;

namespace {

AnswerAttributes makeAnswer(std::optional<double> logProbability) {
  return {core::VersionId("small@1"), "stop", 50, logProbability};
}

TEST(AnswerCheck, scoresLikelierTokensHigher) {
  EXPECT_GT(scoreAnswer(makeAnswer(-0.1)), scoreAnswer(makeAnswer(-1.0)));
  EXPECT_LE(scoreAnswer(makeAnswer(0.5)), 1.0);
}

TEST(AnswerCheck, scoresTruncatedOrEmptyAnswersLower) {
  AnswerAttributes cut = makeAnswer(-0.1);
  cut.FinishReason = "length";
  EXPECT_LT(scoreAnswer(cut), scoreAnswer(makeAnswer(-0.1)));
  AnswerAttributes empty = makeAnswer(std::nullopt);
  empty.AnswerTokens = 0;
  EXPECT_EQ(scoreAnswer(empty), 0);
}

} // namespace
