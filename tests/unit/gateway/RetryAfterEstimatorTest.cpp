#include "cowslipridge/gateway/RetryAfterEstimator.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

const core::InstanceId One("one");
const core::InstanceId Two("two");

TEST(RetryAfterEstimatorTest, anotherGatewayThatServesIsThereAtOnce) {
  RetryAfterEstimator departures;
  departures.note(One, std::nullopt, Millis(0));
  departures.note(One, std::nullopt, Millis(3'000));
  departures.note(Two, Millis(500), Millis(3'000));
  EXPECT_EQ(departures.retryAfter(Millis(4'000), Millis(3'100)), Millis(0));
}

// Pattern: gateways are restarted in turn, faster than their streams end.
TEST(RetryAfterEstimatorTest, whileAllLeaveTheFirstThatIsBackCounts) {
  RetryAfterEstimator departures;
  departures.note(One, Millis(1'000), Millis(0));
  departures.note(Two, Millis(3'000), Millis(0));
  const Millis early = departures.retryAfter(Millis(4'000), Millis(0));
  EXPECT_GT(early, Millis(1'000));
  EXPECT_LT(early, Millis(3'500));
  EXPECT_LT(departures.retryAfter(Millis(4'000), Millis(900)), early)
      << "the time is a moment, not a length";
  EXPECT_GT(departures.retryAfter(Millis(4'000), Millis(1'700)), Millis(0))
      << "it may be late by a little";
}

TEST(RetryAfterEstimatorTest, aGatewayThatFellSilentServesNobody) {
  RetryAfterEstimator departures;
  departures.note(One, std::nullopt, Millis(0));
  EXPECT_GT(departures.retryAfter(Millis(4'000), Millis(5'000)), Millis(4'000));
}

// The balancer asks once a second who is ready.
TEST(RetryAfterEstimatorTest, oneThatIsBackCountsOnceTheBalancerKnows) {
  RetryAfterEstimator departures;
  departures.note(One, Millis(100), Millis(0));
  departures.note(One, std::nullopt, Millis(800));
  EXPECT_GT(departures.retryAfter(Millis(4'000), Millis(900)), Millis(500));
  for (const int now : {1'000, 1'500, 2'000, 2'500})
    departures.note(One, std::nullopt, Millis(now));
  EXPECT_EQ(departures.retryAfter(Millis(4'000), Millis(2'600)), Millis(0));
}

TEST(RetryAfterEstimatorTest, aloneItTellsWhenItIsBackItself) {
  const RetryAfterEstimator departures;
  EXPECT_GT(departures.retryAfter(Millis(2'000), Millis(0)), Millis(2'000));
}

} // namespace
