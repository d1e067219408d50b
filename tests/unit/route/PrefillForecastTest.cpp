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
  PrefillForecastTest() { Forecast.introduce(Model, 1); }

  /// A runner that reads with `rate` milliseconds a token answers.
  void answer(const core::RunnerId &runner, std::uint64_t tokens, double rate) {
    const std::uint64_t ticket = ++Tickets;
    Forecast.sent(ticket, runner, Model, tokens, Now);
    Now = Now + Millis(20 + static_cast<std::int64_t>(
                                rate * static_cast<double>(tokens)));
    Forecast.answered(ticket, Now);
    Forecast.ended(ticket);
  }

  PrefillForecast Forecast;
  std::uint64_t Tickets = 0;
  Millis Now;
};

TEST_F(PrefillForecastTest, workOnItsWayCountsBeforeAnyAnswerIsLate) {
  const Millis idle = Forecast.firstToken(One, Model, 1'000);
  Forecast.sent(1, One, Model, 10'000, Now);
  EXPECT_GT(Forecast.firstToken(One, Model, 1'000), idle * 3);
  EXPECT_EQ(Forecast.firstToken(Two, Model, 1'000), idle);
  Forecast.answered(1, Now + Millis(500));
  Forecast.ended(1);
  EXPECT_EQ(Forecast.ownLoads().size(), 0U);
}

TEST_F(PrefillForecastTest, whatOtherGatewaysSentCountsAsWell) {
  const Millis idle = Forecast.firstToken(One, Model, 1'000);
  const core::InstanceId peer("peer");
  Forecast.setRemote(peer, {{One, {800, 2, 0}}}, Now);
  EXPECT_EQ(Forecast.remoteAge(Now + Millis(300)), Millis(300));
  EXPECT_GE(Forecast.firstToken(One, Model, 1'000), idle + Millis(800));
  Forecast.forgetRemote(peer);
  EXPECT_EQ(Forecast.firstToken(One, Model, 1'000), idle);
}

TEST_F(PrefillForecastTest, learnsHowFastAModelReads) {
  constexpr double Rate = 0.012;
  for (int n = 0; n < 200; ++n)
    answer(n % 2 == 0 ? One : Two, 8'000, Rate);
  const auto forecast = Forecast.firstToken(One, Model, 8'000).count();
  const double actual = 20 + Rate * 8'000;
  EXPECT_GT(forecast, actual * 0.8);
  EXPECT_LT(forecast, actual * 1.25);
}

TEST_F(PrefillForecastTest, tellsASlowRunnerFromASlowModel) {
  constexpr double Rate = 0.02;
  for (int n = 0; n < 100; ++n) {
    answer(One, 5'000, Rate);
    answer(Two, 5'000, Rate * 5);
  }
  EXPECT_GT(Forecast.firstToken(Two, Model, 5'000),
            Forecast.firstToken(One, Model, 5'000) * 3);
}

TEST_F(PrefillForecastTest, learnsThePaceOfEventsAndForgetsIt) {
  Forecast.sent(1, One, Model, 100, Now);
  Forecast.answered(1, Now);
  for (int n = 0; n < 100; ++n) {
    Now = Now + Millis(400);
    Forecast.progressed(1, 1, Now);
  }
  EXPECT_NEAR(Forecast.eventMillis(One, Now), 400, 20);
  const double other = Forecast.eventMillis(Two, Now);
  EXPECT_LT(Forecast.eventMillis(One, Now + Millis(30'000)), other * 1.1);
}

} // namespace
