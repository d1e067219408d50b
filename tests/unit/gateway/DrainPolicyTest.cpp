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
    RequestContext facts = support::requestContext(kind, 1);
    facts.ArrivedAt = now;
    facts.Deadline = now + allowed;
    return facts;
  }
  bool takes(RouteKind kind, Millis now, Millis allowed) const {
    return Drain.takes(request(kind, now, allowed), now);
  }

  DrainPolicy Drain{Millis(8'000)};
};

TEST_F(DrainPolicyTest, takesEverythingUntilTheBalancerHasNoticed) {
  EXPECT_TRUE(takes(RouteKind::ResumableStream, Millis(0), Millis(12'000)));
  Drain.begin(Millis(1'000));
  EXPECT_TRUE(takes(RouteKind::ResumableStream, Millis(3'000), Millis(12'000)));
  EXPECT_FALSE(Drain.isOver(0, Millis(3'000)));
}

// Pattern: all gateways leave at the same time, so that nobody else serves.
TEST_F(DrainPolicyTest, goesOnWithWhatIsSureToEndInTime) {
  Drain.begin(Millis(0));
  EXPECT_TRUE(takes(RouteKind::NonIdempotent, Millis(6'000), Millis(1'000)));
  EXPECT_TRUE(takes(RouteKind::Idempotent, Millis(6'000), Millis(1'000)));
  EXPECT_FALSE(takes(RouteKind::Idempotent, Millis(7'000), Millis(1'000)));
  EXPECT_FALSE(
      takes(RouteKind::ResumableStream, Millis(3'000), Millis(12'000)));
  EXPECT_FALSE(takes(RouteKind::ResumableStream, Millis(3'000), Millis(1'000)))
      << "a stream that is cut can't be answered by anybody else";
}

TEST_F(DrainPolicyTest, endsWhenNothingIsUnderWayOrTheTimeIsOver) {
  Drain.begin(Millis(0));
  EXPECT_FALSE(Drain.isOver(1, Millis(5'000)));
  EXPECT_TRUE(Drain.isOver(0, Millis(5'000)));
  EXPECT_TRUE(Drain.isOver(1, Millis(7'500)));
}

TEST_F(DrainPolicyTest, aSecondSignalChangesNothing) {
  Drain.begin(Millis(0));
  Drain.begin(Millis(5'000));
  EXPECT_TRUE(Drain.isOver(1, Millis(7'500)));
}

} // namespace
