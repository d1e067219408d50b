#include "cowslipridge/limits/RejectionRates.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

const core::RunnerId Runner("a");

TEST(RejectionRatesTest, approachesTheShareOfRejections) {
  RejectionRates rates;
  Millis now{1'000};
  EXPECT_EQ(rates.rate(Runner, now), 0);
  double sum = 0;
  constexpr int Rounds = 200;
  for (int n = 0; n < Rounds; ++n) {
    now = now + Millis(10);
    if (n % 2 == 0)
      rates.onRejected(Runner, now);
    else
      rates.onAccepted(Runner, now);
    sum += rates.rate(Runner, now);
  }
  EXPECT_NEAR(sum / Rounds, 0.5, 0.05);
}

TEST(RejectionRatesTest, forgetsRejectionsInTime) {
  RejectionRates rates;
  for (int n = 0; n < 20; ++n)
    rates.onRejected(Runner, Millis(1'000));
  EXPECT_GT(rates.rate(Runner, Millis(1'000)), 0.9);
  EXPECT_LT(rates.rate(Runner, Millis(21'000)), 0.02);
  for (int n = 0; n < 20; ++n)
    rates.onAccepted(Runner, Millis(1'000));
  EXPECT_EQ(rates.rate(Runner, Millis(1'000)), 0);
}

TEST(RejectionRatesTest, anotherRunnerIsNotConcerned) {
  RejectionRates rates;
  rates.onRejected(Runner, Millis(1'000));
  EXPECT_EQ(rates.rate(core::RunnerId("b"), Millis(1'000)), 0);
  rates.removeRunner(Runner);
  EXPECT_EQ(rates.rate(Runner, Millis(1'000)), 0);
}

} // namespace
