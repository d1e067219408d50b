#include "cowslipridge/route/AnswerCheck.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;

namespace {

AnswerFacts makeAnswer(std::optional<double> logProbability) {
  return {core::VersionId("small@1"), "stop", 50, logProbability};
}

TEST(AnswerCheck, scoresLikelierTokensHigher) {
  EXPECT_GT(checkScore(makeAnswer(-0.1)), checkScore(makeAnswer(-1.0)));
  EXPECT_LE(checkScore(makeAnswer(0.5)), 1.0);
}

TEST(AnswerCheck, distrustsAnswersThatWereCutShortOrEmpty) {
  AnswerFacts cut = makeAnswer(-0.1);
  cut.FinishReason = "length";
  EXPECT_LT(checkScore(cut), checkScore(makeAnswer(-0.1)));
  AnswerFacts empty = makeAnswer(std::nullopt);
  empty.AnswerTokens = 0;
  EXPECT_EQ(checkScore(empty), 0);
}

} // namespace
