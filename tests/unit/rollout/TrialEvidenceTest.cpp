#include "cowslipridge/rollout/TrialEvidence.hpp"

#include <gtest/gtest.h>

#include <cmath>

using namespace cowslipridge;
using namespace cowslipridge::rollout;

namespace {

AnswerCounts judged(std::uint64_t judged, std::uint64_t failed,
                    std::uint64_t broken = 0) {
  AnswerCounts counts;
  counts.Judged = judged;
  counts.Failed = failed;
  counts.Broken = broken;
  return counts;
}

AnswerCounts timed(std::uint64_t n, double factor) {
  AnswerCounts counts;
  counts.Timed = n;
  counts.LogSlowness = static_cast<double>(n) * std::log(factor);
  return counts;
}

TEST(TrialEvidenceTest, halfOfTheAnswersFailingIsWorse) {
  EXPECT_TRUE(isWorse(judged(6, 3), judged(100, 0)));
}

TEST(TrialEvidenceTest, failuresThatTheStableVersionSharesAreNotWorse) {
  EXPECT_FALSE(isWorse(judged(40, 6), judged(200, 28)));
  EXPECT_FALSE(isWorse(judged(4, 2), judged(0, 0))) << "too few";
}

TEST(TrialEvidenceTest, crashOfQuarterOfRunnersIsNotWorse) {
  EXPECT_FALSE(isWorse(judged(30, 0, 8), judged(200, 0, 0)));
  EXPECT_TRUE(isWorse(judged(20, 0, 12), judged(200, 0, 4)));
}

TEST(TrialEvidenceTest, slownessThatLoadDoesNotExplainIsWorse) {
  EXPECT_TRUE(isWorse(timed(8, 8), timed(100, 1)));
  EXPECT_FALSE(isWorse(timed(8, 3), timed(100, 2))) << "both are loaded";
  EXPECT_FALSE(isWorse(timed(3, 8), timed(100, 1))) << "too few";
}

// Guards against completing the roll-out of a version of which only a part of
// the answers is computed slowly: none of its streams is as fast as those of
// the stable version at the same load.
TEST(TrialEvidenceTest, slownessOfAThirdOfTheAnswersIsWorse) {
  AnswerCounts stable;
  AnswerCounts trial;
  for (int n = 0; n < 40; ++n) {
    stable.Intervals.add(0, n % 2 == 0 ? 20 : 32);
    stable.Intervals.add(5, 45);
  }
  for (int n = 0; n < 16; ++n)
    trial.Intervals.add(0, n % 3 == 0 ? 45 : 32);
  EXPECT_TRUE(isWorse(trial, stable));
  AnswerCounts sound;
  for (int n = 0; n < 16; ++n)
    sound.Intervals.add(0, n % 3 == 0 ? 45 : 20);
  EXPECT_FALSE(isWorse(sound, stable));
}

TEST(TrialEvidenceTest, sumsRoutesOfEachVersionOfOneService) {
  const core::ServiceId llm("llm");
  const core::VersionId v1("v1");
  RouteEvidenceTable evidence;
  evidence[{llm, v1, "a"}].Judged = 3;
  evidence[{llm, v1, "b"}].Judged = 4;
  evidence[{core::ServiceId("desk"), v1, "c"}].Judged = 50;
  const auto sums = sumByVersion(evidence, llm);
  ASSERT_EQ(sums.size(), 1U);
  EXPECT_EQ(sums.at(v1).Judged, 7U);
}

} // namespace
