#include "cowslipridge/route/PrefillForecast.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;
using core::Millis;

namespace {

const core::RunnerId One("one");
const core::RunnerId Two("two");
const std::string Model = "m";

class PrefillForecastTest : public testing::Test {
protected:
  PrefillForecastTest() { Forecast.registerModel(Model, 1); }

  /// Sends an attempt whose prefill takes `rate` milliseconds per token.
  void runAttempt(const core::RunnerId &runner, std::uint64_t tokens,
                  double rate) {
    const std::uint64_t ticket = ++Tickets;
    Forecast.onAttemptSent(ticket, runner, Model, tokens, Now);
    Now = Now + Millis(20 + static_cast<std::int64_t>(
                                rate * static_cast<double>(tokens)));
    Forecast.onFirstToken(ticket, Now);
    Forecast.onAttemptEnded(ticket);
  }

  PrefillForecast Forecast;
  std::uint64_t Tickets = 0;
  Millis Now;
};

TEST_F(PrefillForecastTest, includesPendingAttemptsBeforeAnyAnswerIsLate) {
  const Millis idle = Forecast.timeToFirstToken(One, Model, 1'000);
  Forecast.onAttemptSent(1, One, Model, 10'000, Now);
  EXPECT_GT(Forecast.timeToFirstToken(One, Model, 1'000), idle * 3);
  EXPECT_EQ(Forecast.timeToFirstToken(Two, Model, 1'000), idle);
  Forecast.onFirstToken(1, Now + Millis(500));
  Forecast.onAttemptEnded(1);
  EXPECT_EQ(Forecast.ownLoads().size(), 0U);
}

TEST_F(PrefillForecastTest, includesLoadsOfOtherGateways) {
  const Millis idle = Forecast.timeToFirstToken(One, Model, 1'000);
  const core::InstanceId peer("peer");
  Forecast.setRemoteLoads(peer, {{One, {800, 2, 0}}}, Now);
  EXPECT_EQ(Forecast.maxRemoteLoadAge(Now + Millis(300)), Millis(300));
  EXPECT_GE(Forecast.timeToFirstToken(One, Model, 1'000), idle + Millis(800));
  Forecast.removeRemoteLoads(peer);
  EXPECT_EQ(Forecast.timeToFirstToken(One, Model, 1'000), idle);
}

TEST_F(PrefillForecastTest, learnsThePrefillSpeedOfAModel) {
  constexpr double Rate = 0.012;
  for (int n = 0; n < 200; ++n)
    runAttempt(n % 2 == 0 ? One : Two, 8'000, Rate);
  const auto forecast = Forecast.timeToFirstToken(One, Model, 8'000).count();
  const double actual = 20 + Rate * 8'000;
  EXPECT_GT(forecast, actual * 0.8);
  EXPECT_LT(forecast, actual * 1.25);
}

// Pattern: a few large prompts among many small ones, each of which waits for
// the batch in progress. Their delay must not be taken for time to prefill.
TEST_F(PrefillForecastTest, forecastsLargePromptsAmongManySmallOnes) {
  constexpr double Rate = 0.045;
  constexpr double FixedMillis = 60;
  constexpr double MillisPerAnswer = 3;
  constexpr unsigned Answers = 12;
  const auto actual = [&](std::uint64_t tokens) {
    return FixedMillis + MillisPerAnswer * Answers +
           Rate * static_cast<double>(tokens);
  };
  const core::InstanceId peer("peer");
  Forecast.setRemoteLoads(
      peer, {{One, {0, 0, Answers}}, {Two, {0, 0, Answers}}}, Now);
  for (int n = 0; n < 400; ++n) {
    const std::uint64_t tokens = n % 10 == 0 ? 12'000 : 1'300;
    const std::uint64_t ticket = ++Tickets;
    Forecast.onAttemptSent(ticket, n % 2 == 0 ? One : Two, Model, tokens, Now);
    Now = Now + Millis(static_cast<std::int64_t>(actual(tokens)));
    Forecast.onFirstToken(ticket, Now);
    Forecast.onAttemptEnded(ticket);
  }
  for (const std::uint64_t tokens : {1'300, 12'000, 30'000}) {
    const auto forecast = static_cast<double>(
        Forecast.timeToFirstToken(One, Model, tokens).count());
    EXPECT_NEAR(forecast / actual(tokens), 1, 0.15) << tokens;
  }
  EXPECT_LT(Forecast.idleTimeToFirstToken(One, Model, 1'300),
            Forecast.timeToFirstToken(One, Model, 1'300));
}

// Pattern: all runners of a fleet deviate alike from the first estimate. That
// is the speed of the model, not the slowness of each runner.
TEST_F(PrefillForecastTest, attributesCommonDeviationToTheModel) {
  constexpr double Rate = 0.02;
  for (int n = 0; n < 300; ++n)
    runAttempt(n % 2 == 0 ? One : Two, 6'000, Rate);
  EXPECT_NEAR(Forecast.slowness(One), 1, 0.1);
  EXPECT_NEAR(Forecast.slowness(Two), 1, 0.1);
}

TEST_F(PrefillForecastTest, separatesRunnerSlownessFromModelSpeed) {
  constexpr double Rate = 0.02;
  for (int n = 0; n < 100; ++n) {
    runAttempt(One, 5'000, Rate);
    runAttempt(Two, 5'000, Rate * 5);
  }
  EXPECT_GT(Forecast.timeToFirstToken(Two, Model, 5'000),
            Forecast.timeToFirstToken(One, Model, 5'000) * 3);
}

TEST_F(PrefillForecastTest, eventIntervalFollowsTheStreamAndDecays) {
  Forecast.onAttemptSent(1, One, Model, 100, Now);
  Forecast.onFirstToken(1, Now);
  for (int n = 0; n < 100; ++n) {
    Now = Now + Millis(400);
    Forecast.onStreamEvents(1, 1, Now);
  }
  EXPECT_NEAR(Forecast.eventIntervalMillis(One, Now), 400, 20);
  const double other = Forecast.eventIntervalMillis(Two, Now);
  EXPECT_LT(Forecast.eventIntervalMillis(One, Now + Millis(30'000)),
            other * 1.1);
}

} // namespace
