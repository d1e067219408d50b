#include "cowslipridge/rollout/TrialAssessment.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <string>

using namespace cowslipridge;
using namespace cowslipridge::rollout;

namespace {

/// Returns whether a version is shown to be worse by these counts of the same
/// span of time.
bool isWorse(const AnswerCounts &trial, const AnswerCounts &stable) {
  TrialAssessment assessment{core::VersionId("v2")};
  const core::ServiceId service("s");
  assessment.add({service, core::VersionId("v1"), "r"}, stable, core::Millis());
  assessment.add({service, core::VersionId("v2"), "r"}, trial, core::Millis());
  return assessment.verdict().Finding == TrialFinding::Worse;
}

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

TEST(TrialAssessmentTest, halfOfTheAnswersFailingIsWorse) {
  EXPECT_TRUE(isWorse(judged(6, 3), judged(100, 0)));
}

TEST(TrialAssessmentTest, failuresThatTheStableVersionSharesAreNotWorse) {
  EXPECT_FALSE(isWorse(judged(40, 6), judged(200, 28)));
  EXPECT_FALSE(isWorse(judged(4, 2), judged(0, 0))) << "too few";
}

TEST(TrialAssessmentTest, crashOfQuarterOfRunnersIsNotWorse) {
  EXPECT_FALSE(isWorse(judged(30, 0, 8), judged(200, 0, 0)));
  EXPECT_TRUE(isWorse(judged(20, 0, 12), judged(200, 0, 4)));
}

TEST(TrialAssessmentTest, slownessThatLoadDoesNotExplainIsWorse) {
  EXPECT_TRUE(isWorse(timed(8, 8), timed(100, 1)));
  EXPECT_FALSE(isWorse(timed(8, 3), timed(100, 2))) << "both are loaded";
  EXPECT_FALSE(isWorse(timed(3, 8), timed(100, 1))) << "too few";
}

// Guards against completing the roll-out of a version of which only a part of
// the answers is computed slowly: none of its streams is as fast as those of
// the stable version at the same load.
TEST(TrialAssessmentTest, slownessOfAThirdOfTheAnswersIsWorse) {
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

/// Answers of both versions of a plain service over time, at their usual rates.
class PlainTraffic {
public:
  struct Quality {
    double FailedShare = 0;
    double Millis = 30;
  };
  /// Lets half a second pass in which each version answers as stated.
  void halfSecond(const Quality &trial, const Quality &stable) {
    Now = Now + core::Millis(500);
    add("v1", StablePerStep, stable);
    add("v2", TrialPerStep, trial);
  }
  [[nodiscard]] TrialFinding finding() const {
    return Assessment.verdict().Finding;
  }

private:
  static constexpr std::uint64_t StablePerStep = 20;
  static constexpr std::uint64_t TrialPerStep = 2;

  void add(const std::string &version, std::uint64_t answers,
           const Quality &quality) {
    double &failures = Failures[version];
    for (std::uint64_t n = 0; n < answers; ++n) {
      AnswerCounts counts;
      counts.Sent = 1;
      counts.Judged = 1;
      failures += quality.FailedShare;
      if (failures >= 1) {
        failures -= 1;
        counts.Failed = 1;
      } else {
        counts.Durations.add(0, quality.Millis);
      }
      Assessment.add({core::ServiceId("desk"), core::VersionId(version), "r"},
                     counts, Now);
    }
  }

  TrialAssessment Assessment{core::VersionId("v2")};
  std::map<std::string, double> Failures;
  core::Millis Now;
};

// Guards against completing the roll-out of a version of a plain service that
// answers several times slower and fails on nothing.
TEST(TrialAssessmentTest, slowVersionOfAPlainServiceIsWorse) {
  PlainTraffic traffic;
  for (int n = 0; n < 8; ++n)
    traffic.halfSecond({0, n % 2 == 0 ? 90.0 : 30.0}, {0, 30});
  EXPECT_EQ(traffic.finding(), TrialFinding::Worse);
}

TEST(TrialAssessmentTest, equallyFastVersionOfAPlainServiceIsSound) {
  PlainTraffic traffic;
  for (int n = 0; n < 8; ++n)
    traffic.halfSecond({0, 40}, {0, 30});
  EXPECT_EQ(traffic.finding(), TrialFinding::Sound);
}

// Guards against failures of all runners for a while that hide a bad version
// until long after their end.
TEST(TrialAssessmentTest, endedFailuresOfAllRunnersHideNoBadVersion) {
  PlainTraffic traffic;
  for (int n = 0; n < 14; ++n)
    traffic.halfSecond({0.5, 30}, {0.45, 30});
  EXPECT_NE(traffic.finding(), TrialFinding::Sound);
  for (int n = 0; n < 12; ++n)
    traffic.halfSecond({0.45, 30}, {0.02, 30});
  EXPECT_EQ(traffic.finding(), TrialFinding::Worse);
}

TEST(TrialAssessmentTest, failuresOfAllRunnersBlameNoSoundVersion) {
  PlainTraffic traffic;
  for (int n = 0; n < 14; ++n) {
    traffic.halfSecond({0.45, 30}, {0.45, 30});
    EXPECT_NE(traffic.finding(), TrialFinding::Worse);
  }
  for (int n = 0; n < 14; ++n)
    traffic.halfSecond({0.02, 30}, {0.02, 30});
  EXPECT_EQ(traffic.finding(), TrialFinding::Sound);
}

// Guards against a long sound past that hides a version that turns bad late.
TEST(TrialAssessmentTest, soundPastDoesNotHideLateFailures) {
  PlainTraffic traffic;
  for (int n = 0; n < 200; ++n)
    traffic.halfSecond({0, 30}, {0, 30});
  ASSERT_EQ(traffic.finding(), TrialFinding::Sound);
  for (int n = 0; n < 6; ++n)
    traffic.halfSecond({0.5, 30}, {0, 30});
  EXPECT_EQ(traffic.finding(), TrialFinding::Worse);
}

TEST(TrialAssessmentTest, versionIsNotSoundWhileARouteIsUntried) {
  TrialAssessment assessment{core::VersionId("v2")};
  const core::ServiceId service("s");
  const auto add = [&](const char *version, const char *route,
                       std::uint64_t n) {
    assessment.add({service, core::VersionId(version), route}, judged(n, 0),
                   {});
  };
  add("v1", "busy", 200);
  add("v1", "other", 60);
  add("v1", "rare", 5);
  add("v2", "busy", 40);
  EXPECT_EQ(assessment.verdict().Finding, TrialFinding::Unknown);
  add("v2", "other", 8);
  EXPECT_EQ(assessment.verdict().Finding, TrialFinding::Sound);
}

TEST(TrialAssessmentTest, sumsRoutesOfEachVersionOfOneService) {
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
