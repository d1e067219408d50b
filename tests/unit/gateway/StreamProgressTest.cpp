#include "cowslipridge/gateway/StreamProgress.hpp"

#include "support/ScriptedPlacementPolicy.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

constexpr Millis Minute{60'000};

/// Returns when a stream with an event every `pause` stalls, if it does within
/// a minute.
std::optional<Millis> stallOf(Millis targetGap, Millis pause,
                              unsigned burst = 0) {
  StreamProgress progress(targetGap, Millis());
  progress.onEvents(burst, Millis());
  for (Millis now = pause; now < Minute; now = now + pause) {
    if (progress.stallsAt() < now)
      return progress.stallsAt();
    progress.onEvents(1, now);
  }
  return std::nullopt;
}

// Guards against closing a stream that is slow but keeps to its route's target.
TEST(StreamProgressTest, pausesWithinTheTargetNeverStall) {
  for (const std::int64_t gap : {250, 1'000, 1'100, 1'300, 1'500, 3'000}) {
    EXPECT_EQ(stallOf(Millis(gap), Millis(gap)), std::nullopt) << gap;
    EXPECT_EQ(stallOf(Millis(gap), Millis(gap + gap / 10)),
              gap >= 1'500 ? std::optional(Millis(gap)) : std::nullopt)
        << gap << " and a tenth";
  }
}

// Guards against a stalled stream that an event now and then keeps alive.
TEST(StreamProgressTest, anEventNowAndThenDoesNotKeepAStreamAlive) {
  EXPECT_EQ(stallOf(Millis(1'000), Millis(1'450)), Millis(12'000));
  EXPECT_EQ(stallOf(Millis(250), Millis(1'450)), Millis(12'000));
}

TEST(StreamProgressTest, aFastStartExcusesAStallForOneWindowOnly) {
  const auto stalled = stallOf(Millis(1'000), Millis(1'450), 500);
  ASSERT_TRUE(stalled.has_value());
  EXPECT_LE(*stalled, Millis(24'000));
}

TEST(StreamProgressTest, silenceStallsAtTheIdleLimit) {
  StreamProgress progress(Millis(1'000), Millis(100));
  EXPECT_EQ(progress.stallsAt(), Millis(1'600));
  progress.onEvents(3, Millis(400));
  EXPECT_EQ(progress.stallsAt(), Millis(1'900));
  EXPECT_EQ(StreamProgress(Millis(3'000), Millis()).stallsAt(), Millis(3'000));
}

TEST(StreamProgressTest, aRouteWithoutATargetIsJudgedByItsSilenceOnly) {
  EXPECT_EQ(stallOf(Millis(), Millis(1'450)), std::nullopt);
}

/// A stream of a route with a target, at the first of three attempts.
class StalledStreamTest : public testing::Test {
protected:
  StalledStreamTest() {
    catalogue::Catalogue declared;
    catalogue::Route route;
    route.Kind = catalogue::RouteKind::ResumableStream;
    route.MaxAttempts = 3;
    route.Timeout = Minute;
    route.TargetGap = Millis(1'000);
    route.Services = {{core::ServiceId("s"), 1}};
    declared.Routes = {route};
    RequestContext context;
    context.Catalogue =
        std::make_shared<const catalogue::CatalogueIndex>(declared);
    context.Route = &context.Catalogue->catalogue().Routes.front();
    context.Deadline = Minute;
    Machine.emplace(std::move(context), Policy, Actions);
    Machine->start(Millis());
    http1::ResponseHead head;
    head.Status = 200;
    ResponseAttributes attributes;
    attributes.Authentic = true;
    Machine->onHead(head, attributes, Millis());
  }

  /// Sends an event every `pause` from `from` to `to`.
  void drip(Millis from, Millis to, Millis pause) {
    for (Millis now = from; now < to; now = now + pause) {
      Machine->onTimer(now);
      Machine->onData("data: x\n\n", now);
    }
  }

  support::ScriptedPlacementPolicy Policy;
  support::RecordedActions Actions;
  std::optional<RequestStateMachine> Machine;
};

TEST_F(StalledStreamTest, movesAStreamThatDripsToAnotherRunner) {
  drip(Millis(1'450), Millis(13'100), Millis(1'450));
  EXPECT_EQ(Actions.Attempts, 2);
  EXPECT_FALSE(Actions.Aborted);
}

TEST_F(StalledStreamTest, leavesASlowStreamWhereItIs) {
  drip(Millis(1'000), Millis(50'000), Millis(1'000));
  EXPECT_EQ(Actions.Attempts, 1);
}

// Guards against a stream that is never judged again, because there was no
// other runner when it stalled for the first time.
TEST_F(StalledStreamTest, judgesAStreamAgainThatNoOtherRunnerCouldTake) {
  Policy.PlacementsLeft = 0;
  Machine->onTimer(Millis(1'500));
  EXPECT_EQ(Actions.Waits, 1);
  Machine->onData("data: x\n\n", Millis(1'600));
  Policy.PlacementsLeft = 1;
  Machine->onTimer(Machine->nextTimer());
  EXPECT_EQ(Actions.Attempts, 2);
}

} // namespace
