#include "cowslipridge/limits/CrashAttribution.hpp"

#include "cowslipridge/core/Random.hpp"

#include <gtest/gtest.h>

#include <string>

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

const core::ServiceId Service("llm");
constexpr Millis Settled{1'100};
constexpr std::uint64_t Common = 1;
constexpr std::uint64_t Crashing = 2;
constexpr std::uint64_t Subject = 3;

class CrashAttributionTest : public testing::Test {
protected:
  CrashAttributionTest() {
    for (int n = 0; n < 100; ++n)
      Attribution.onBegun(Now);
  }
  void breakAt(Millis at, std::uint64_t request, const std::string &runner,
               std::vector<std::uint64_t> segments) {
    Now = at;
    Attribution.onBreak(
        {core::RunnerId(runner), request, {Service, std::move(segments)}, at},
        true, at);
  }
  std::optional<CrashVerdict> settle() {
    Now = Now + Settled;
    return Attribution.verdict(Now);
  }

  CrashAttribution Attribution;
  Millis Now{1'000};
};

TEST_F(CrashAttributionTest, blamesTheSegmentOfAllCrashes) {
  breakAt(Millis(1'000), 1, "a", {Common, Crashing});
  breakAt(Millis(1'300), 1, "b", {Common, Crashing});
  Attribution.onSurvived({{Service, Common}, Millis(1'400)}, true);
  breakAt(Millis(2'000), 2, "c", {Common, Crashing});
  EXPECT_FALSE(Attribution.verdict(Now));
  const auto verdict = settle();
  ASSERT_TRUE(verdict);
  EXPECT_EQ(*verdict, (CrashVerdict{{Service, Crashing}, 3, 2}));
}

// Guards against blaming whatever one unlucky request holds.
TEST_F(CrashAttributionTest, needsMoreThanOneRequest) {
  for (int n = 0; n < 6; ++n)
    breakAt(Millis(1'000 + 300 * n), 1, "r" + std::to_string(n), {Crashing});
  EXPECT_FALSE(settle());
}

TEST_F(CrashAttributionTest, anAnswerThatGoesWellClearsItsSegments) {
  breakAt(Millis(1'000), 1, "a", {Subject});
  breakAt(Millis(2'000), 2, "b", {Subject});
  EXPECT_TRUE(Attribution.isSuspect({Service, {Subject}}, Now));
  Attribution.onSurvived({{Service, Subject}, Millis(2'500)}, true);
  EXPECT_FALSE(Attribution.isSuspect({Service, {Subject}}, Now));
  breakAt(Millis(3'000), 3, "c", {Subject});
  EXPECT_FALSE(settle());
}

// Pattern: a failure domain goes, and answers at many runners break together.
TEST_F(CrashAttributionTest, oneLossOfManyRunnersIsOneCrash) {
  for (std::uint64_t n = 0; n < 6; ++n)
    breakAt(Millis(1'000 + static_cast<std::int64_t>(n) * 20), n,
            "r" + std::to_string(n), {Subject});
  EXPECT_FALSE(settle());
}

// Guards against rejecting everything that shares a segment with the prompts
// that crash runners.
TEST_F(CrashAttributionTest, waitsWhileTwoSegmentsAreInAllCrashes) {
  for (std::uint64_t n = 0; n < 4; ++n)
    breakAt(Millis(1'000 + static_cast<std::int64_t>(n) * 500), n,
            "r" + std::to_string(n), {Common, Crashing});
  EXPECT_FALSE(settle());
  Attribution.onSurvived({{Service, Common}, Now}, true);
  const auto verdict = Attribution.verdict(Now);
  ASSERT_TRUE(verdict);
  EXPECT_EQ(verdict->Trait.Id, Crashing);
}

// Guards against an arbitrary choice between two segments that stand at the
// same place of their prompts, soon after the start, when nothing was answered
// yet.
TEST_F(CrashAttributionTest, waitsWhileNothingTellsTwoSegmentsApart) {
  for (std::uint64_t n = 0; n < 6; ++n) {
    const Millis at(1'000 + static_cast<std::int64_t>(n) * 500);
    const std::string runner = "r" + std::to_string(n);
    breakAt(at, n, runner, {Common});
    breakAt(at, 100 + n, runner, {Crashing});
  }
  EXPECT_FALSE(settle());
  breakAt(Now, 50, "x", {Crashing});
  const auto verdict = settle();
  ASSERT_TRUE(verdict);
  EXPECT_EQ(verdict->Trait.Id, Crashing);
}

TEST_F(CrashAttributionTest, crashesThatAreExplainedDoNotCountAgainstOthers) {
  for (std::uint64_t n = 0; n < 5; ++n)
    breakAt(Millis(1'000 + static_cast<std::int64_t>(n) * 500), n,
            "r" + std::to_string(n), {Common, Crashing});
  ASSERT_TRUE(settle());
  Attribution.onBlamed({Service, Crashing});
  breakAt(Now + Millis(100), 9, "x", {Common, Subject});
  EXPECT_FALSE(settle());
}

// Guards against blaming what the crashing prompts share with sound ones: some
// requests with the blamed segment are still in progress.
TEST_F(CrashAttributionTest, laterCrashesOfABlamedSegmentCountAgainstNoOther) {
  for (std::uint64_t n = 0; n < 6; ++n) {
    const std::string runner = "r" + std::to_string(n);
    const Millis at = Now + Millis(200);
    if (n % 2 == 0)
      breakAt(at, n, runner, {Common, Subject});
    Attribution.onExplained(
        {core::RunnerId(runner), 10 + n, {Service, {Common, Crashing}}, at});
    breakAt(at + Millis(20), 20 + n, runner, {Common, Subject});
  }
  EXPECT_FALSE(settle());
  EXPECT_FALSE(Attribution.isSuspect({Service, {Common, Subject}}, Now));
}

TEST_F(CrashAttributionTest, segmentsOfOtherServicesAreOthers) {
  breakAt(Millis(1'000), 1, "a", {Subject});
  breakAt(Millis(2'000), 2, "b", {Subject});
  EXPECT_FALSE(
      Attribution.isSuspect({core::ServiceId("other"), {Subject}}, Now));
}

TEST_F(CrashAttributionTest, recordsEachBreakOnce) {
  const EarlyBreak event{core::RunnerId("a"), 1, {Service, {Subject}}, Now};
  EXPECT_TRUE(Attribution.onBreak(event, true, Now));
  EXPECT_FALSE(Attribution.onBreak(event, false, Now));
}

// Pattern: callers that send ever new requests. An answer still clears a
// request that broke before.
TEST_F(CrashAttributionTest, memoryForAnswersThatWentWellIsBounded) {
  constexpr TraitKind Kind = TraitKind::Content;
  constexpr std::uint64_t Broken = 7;
  Attribution.onBreak({core::RunnerId("a"), 1, {Service, {}, Broken}, Now},
                      true, Now);
  for (std::uint64_t n = 0; n < 50'000; ++n)
    Attribution.onSurvived({{Service, 1'000 + n, Kind}, Now}, true);
  EXPECT_LE(Attribution.survivals(), 10'000U);
  Attribution.onSurvived({{Service, Broken, Kind}, Now}, true);
  EXPECT_EQ(Attribution.ownSurvivalsSince(Now).size(), 1U);
}

// Pattern: runners that reset many connections for reasons of their own. Each
// subject is rare, and some have a run of bad luck.
TEST_F(CrashAttributionTest, blamesNothingWhenAnswersBreakByChance) {
  constexpr int Requests = 20'000;
  constexpr std::size_t Subjects = 200;
  for (const double share : {0.01, 0.06, 0.4}) {
    CrashAttribution attribution;
    core::Random random(20'261'204);
    int blamed = 0;
    Millis now{1'000};
    for (std::uint64_t n = 0; n < Requests; ++n) {
      now = now + Millis(40);
      const std::vector<std::uint64_t> segments{
          core::uniformIndex(random, 4),
          100 + core::uniformIndex(random, Subjects)};
      attribution.onBegun(now);
      if (core::uniform(random) < share)
        attribution.onBreak({core::RunnerId("r" + std::to_string(n % 12)),
                             n,
                             {Service, segments},
                             now},
                            true, now);
      else
        for (const std::uint64_t it : segments)
          attribution.onSurvived({{Service, it}, now}, true);
      if (const auto verdict = attribution.verdict(now)) {
        ++blamed;
        attribution.onBlamed(verdict->Trait);
      }
    }
    EXPECT_EQ(blamed, 0) << "share " << share;
  }
}

} // namespace
