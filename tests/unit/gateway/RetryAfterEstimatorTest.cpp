#include "cowslipridge/gateway/RetryAfterEstimator.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

const core::InstanceId One("one");
const core::InstanceId Two("two");

TEST(RetryAfterEstimatorTest, isZeroWhileAnotherGatewayServes) {
  RetryAfterEstimator estimator;
  estimator.recordReport(One, std::nullopt, Millis(0));
  estimator.recordReport(One, std::nullopt, Millis(3'000));
  estimator.recordReport(Two, Millis(500), Millis(3'000));
  EXPECT_EQ(estimator.retryAfter(Millis(4'000), Millis(3'100)), Millis(0));
}

// Guards against retries that come too early during a rolling restart: gateways
// restart in turn, faster than their streams end, so that all drain at once.
TEST(RetryAfterEstimatorTest, usesTheEarliestRestartWhileAllGatewaysDrain) {
  RetryAfterEstimator estimator;
  estimator.recordReport(One, Millis(1'000), Millis(0));
  estimator.recordReport(Two, Millis(3'000), Millis(0));
  const Millis early = estimator.retryAfter(Millis(4'000), Millis(0));
  EXPECT_GT(early, Millis(1'000));
  EXPECT_LT(early, Millis(3'500));
  EXPECT_LT(estimator.retryAfter(Millis(4'000), Millis(900)), early)
      << "the restart is at a fixed time point";
  EXPECT_GT(estimator.retryAfter(Millis(4'000), Millis(1'700)), Millis(0))
      << "the restart may be slightly late";
}

TEST(RetryAfterEstimatorTest, ignoresAServingPeerWhoseReportExpired) {
  RetryAfterEstimator estimator;
  estimator.recordReport(One, std::nullopt, Millis(0));
  EXPECT_GT(estimator.retryAfter(Millis(4'000), Millis(5'000)), Millis(4'000));
}

// The load balancer polls readiness once a second.
TEST(RetryAfterEstimatorTest, waitsUntilTheBalancerAdmitsARestartedGateway) {
  RetryAfterEstimator estimator;
  estimator.recordReport(One, Millis(100), Millis(0));
  estimator.recordReport(One, std::nullopt, Millis(800));
  EXPECT_GT(estimator.retryAfter(Millis(4'000), Millis(900)), Millis(500));
  for (const int now : {1'000, 1'500, 2'000, 2'500})
    estimator.recordReport(One, std::nullopt, Millis(now));
  EXPECT_EQ(estimator.retryAfter(Millis(4'000), Millis(2'600)), Millis(0));
}

TEST(RetryAfterEstimatorTest, usesItsOwnRestartWhenNoPeerIsKnown) {
  const RetryAfterEstimator estimator;
  EXPECT_GT(estimator.retryAfter(Millis(2'000), Millis(0)), Millis(2'000));
}

} // namespace
