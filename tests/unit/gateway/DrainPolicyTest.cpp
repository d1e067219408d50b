#include "cowslipridge/gateway/DrainPolicy.hpp"

#include "support/ScriptedPlacementPolicy.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using catalogue::RouteKind;
using core::Millis;

namespace {

class DrainPolicyTest : public testing::Test {
protected:
  static RequestContext request(RouteKind kind, Millis now, Millis allowed) {
    RequestContext context = support::requestContext(kind, 1);
    context.ArrivedAt = now;
    context.Deadline = now + allowed;
    return context;
  }
  bool accepts(RouteKind kind, Millis now, Millis allowed) const {
    return Drain.accepts(request(kind, now, allowed), now);
  }

  DrainPolicy Drain{Millis(8'000)};
};

TEST_F(DrainPolicyTest, acceptsAllRequestsUntilTheBalancerStopsSending) {
  EXPECT_TRUE(accepts(RouteKind::ResumableStream, Millis(0), Millis(12'000)));
  Drain.begin(Millis(1'000));
  EXPECT_TRUE(
      accepts(RouteKind::ResumableStream, Millis(3'000), Millis(12'000)));
  EXPECT_FALSE(Drain.isOver(0, Millis(3'000)));
}

// Guards against rejecting every request when all gateways drain at the same
// time, so that no other gateway serves.
TEST_F(DrainPolicyTest, acceptsOnlyRequestsThatEndBeforeTheProcessExits) {
  Drain.begin(Millis(0));
  EXPECT_TRUE(accepts(RouteKind::NonIdempotent, Millis(6'000), Millis(1'000)));
  EXPECT_TRUE(accepts(RouteKind::Idempotent, Millis(6'000), Millis(1'000)));
  EXPECT_FALSE(accepts(RouteKind::Idempotent, Millis(7'000), Millis(1'000)));
  EXPECT_FALSE(
      accepts(RouteKind::ResumableStream, Millis(3'000), Millis(12'000)));
  EXPECT_FALSE(
      accepts(RouteKind::ResumableStream, Millis(3'000), Millis(1'000)))
      << "no other gateway can continue a stream that is cut off";
}

TEST_F(DrainPolicyTest, isOverWhenNothingIsInFlightOrTheGracePeriodEnds) {
  Drain.begin(Millis(0));
  EXPECT_FALSE(Drain.isOver(1, Millis(5'000)));
  EXPECT_TRUE(Drain.isOver(0, Millis(5'000)));
  EXPECT_TRUE(Drain.isOver(1, Millis(7'500)));
}

// Guards against requests that are cut off without an answer at the end.
TEST_F(DrainPolicyTest, endsRequestsBeforeTheProcessExits) {
  Drain.begin(Millis(0));
  EXPECT_FALSE(Drain.endsRequests(Millis(7'299)));
  EXPECT_TRUE(Drain.endsRequests(Millis(7'300)));
  EXPECT_FALSE(Drain.isOver(1, Millis(7'300)));
  EXPECT_FALSE(accepts(RouteKind::NonIdempotent, Millis(6'500), Millis(900)))
      << "its deadline is after that";
}

// Guards against a process that is killed before it has begun to exit.
TEST(ShortDrainTest, exitsWithinAShortGracePeriod) {
  for (const Millis grace : {Millis(400), Millis(1'000), Millis(3'000)}) {
    DrainPolicy drain{grace};
    drain.begin(Millis(0));
    EXPECT_TRUE(drain.closesIdle(grace * 3 / 5)) << grace.count();
    EXPECT_FALSE(drain.endsRequests(grace / 2)) << grace.count();
    EXPECT_TRUE(drain.endsRequests(grace * 4 / 5)) << grace.count();
    EXPECT_TRUE(drain.isOver(1, grace * 9 / 10)) << grace.count();
  }
}

TEST_F(DrainPolicyTest, ignoresASecondSignal) {
  Drain.begin(Millis(0));
  Drain.begin(Millis(5'000));
  EXPECT_TRUE(Drain.isOver(1, Millis(7'500)));
}

} // namespace
