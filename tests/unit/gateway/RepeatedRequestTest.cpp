#include "cowslipridge/gateway/RequestStateMachine.hpp"

#include "support/RunnerStatements.hpp"
#include "support/ScriptedPlacementPolicy.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using catalogue::RouteKind;
using core::Millis;

namespace {

/// Requests whose caller has sent their id before.
class RepeatedRequestTest : public testing::Test {
protected:
  static constexpr unsigned MaxAttempts = 2;

  void begin(RouteKind kind, const EarlierAttempts &earlier) {
    RequestContext context = support::requestContext(kind, MaxAttempts);
    context.Earlier = earlier;
    Machine.emplace(std::move(context), Policy, Actions);
    Machine->start(Millis(0));
  }
  void serve() {
    http1::ResponseHead head;
    head.Status = 200;
    ResponseAttributes attributes;
    attributes.Status = 200;
    attributes.Authentic = true;
    Machine->onHead(head, attributes, Millis(10));
    Machine->onEnd(Millis(11));
  }

  support::ScriptedPlacementPolicy Policy;
  support::RecordedActions Actions;
  std::optional<RequestStateMachine> Machine;
};

// Guards against repeats that no budget counts.
TEST_F(RepeatedRequestTest, firstAttemptAfterAnArrivalIsARetry) {
  begin(RouteKind::Idempotent, {});
  begin(RouteKind::Idempotent, {true, false, 0});
  begin(RouteKind::Idempotent, {true, true, 1});
  EXPECT_EQ(Policy.Kinds, (std::vector{AttemptKind::First, AttemptKind::Retry,
                                       AttemptKind::Retry}));
}

// Guards against unsafe requests that run twice.
TEST_F(RepeatedRequestTest, unsafeRequestThatMayHaveRunIsNotSent) {
  begin(RouteKind::NonIdempotent, {true, true, 1});
  EXPECT_EQ(Actions.Attempts, 0);
  EXPECT_EQ(Actions.Status, 502);
  EXPECT_FALSE(Actions.RetryAfter.has_value());
}

TEST_F(RepeatedRequestTest, refusedUnsafeRequestMayBeSentAgain) {
  begin(RouteKind::NonIdempotent, {true, false, 0});
  serve();
  EXPECT_EQ(Actions.Status, 200);
  EXPECT_EQ(Machine->attempts(), (EarlierAttempts{true, true, 1}));
}

TEST_F(RepeatedRequestTest, refusalForLackOfRetriesPromisesNotRun) {
  Policy.AllowRetries = false;
  begin(RouteKind::NonIdempotent, {true, false, 0});
  EXPECT_EQ(Actions.Status, 503);
  EXPECT_TRUE(Actions.RetryAfter.has_value());
}

// Guards against requests that run on more runners than their route allows.
TEST_F(RepeatedRequestTest, attemptsAddUp) {
  begin(RouteKind::Idempotent, {true, true, MaxAttempts - 1});
  serve();
  EXPECT_EQ(Machine->attempts().Made, MaxAttempts);
  begin(RouteKind::Idempotent, {true, true, MaxAttempts});
  EXPECT_EQ(Actions.Attempts, 1) << "only the request before was sent";
  EXPECT_EQ(Actions.Status, 502);
}

TEST_F(RepeatedRequestTest, callerThatLeavesMayLeaveARunBehind) {
  begin(RouteKind::NonIdempotent, {});
  Machine->onCallerDisconnected(Millis(5));
  EXPECT_EQ(Machine->attempts(), (EarlierAttempts{true, true, 1}));
}

} // namespace
