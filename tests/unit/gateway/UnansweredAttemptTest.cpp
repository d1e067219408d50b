#include "DispatcherFixture.hpp"

#include "cowslipridge/gateway/RequestStateMachine.hpp"
#include "support/ScriptedPlacementPolicy.hpp"

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

/// Attempts that are given up without a response: they may still arrive.
class UnansweredAttemptTest : public DispatcherTest {
protected:
  Placement retry(const RequestContext &context, const Placement &before) {
    const auto result = RequestDispatcher.place(
        context, 0, {before.Runner}, AttemptKind::RetryUnanswered, Now);
    RequestDispatcher.onEnded(before.Ticket, AttemptOutcome::TimedOut, Now);
    return std::get<Placement>(result);
  }
  /// Returns the retries that count now.
  std::size_t retries() {
    return RequestDispatcher.retryBudgets(Now).begin()->second.Retries;
  }
  /// Lets the runner respond to a request that is sent now.
  void letRespond(const core::RunnerId &runner) {
    std::vector<core::RunnerId> others;
    for (const auto &[id, server] : RequestDispatcher.servers().all()) {
      if (id != runner)
        others.push_back(id);
    }
    const auto result = RequestDispatcher.place(request(9, 100), 0, others,
                                                AttemptKind::First, Now);
    serve(RequestDispatcher, std::get<Placement>(result));
  }
};

// Guards against repeats of more than a window that arrive within one: a runner
// that stood still receives at once what was sent to it meanwhile.
TEST_F(UnansweredAttemptTest, retryCountsUntilTheUnansweredAttemptHasArrived) {
  const RequestContext context = request(1, 100);
  const auto first = place(RequestDispatcher, context);
  ASSERT_TRUE(first.has_value());
  Now = Now + Millis(500);
  serve(RequestDispatcher, retry(context, *first));
  Now = Now + Millis(15'000);
  EXPECT_EQ(retries(), 1U);
  letRespond(first->Runner);
  EXPECT_EQ(retries(), 1U) << "it may have arrived just now";
  Now = Now + Millis(10'001);
  EXPECT_EQ(retries(), 0U);
}

TEST_F(UnansweredAttemptTest, retryThatItsCallerLeavesCountsUntilItHasArrived) {
  const RequestContext context = request(1, 100);
  const auto first = place(RequestDispatcher, context);
  ASSERT_TRUE(first.has_value());
  RequestDispatcher.onEnded(first->Ticket, AttemptOutcome::Rejected, Now);
  const auto second = std::get<Placement>(RequestDispatcher.place(
      context, 0, {first->Runner}, AttemptKind::Retry, Now));
  RequestDispatcher.onEnded(second.Ticket, AttemptOutcome::Cancelled, Now);
  Now = Now + Millis(15'000);
  EXPECT_EQ(retries(), 1U);
  letRespond(second.Runner);
  Now = Now + Millis(10'001);
  EXPECT_EQ(retries(), 0U);
}

TEST(UnansweredRequestTest, onlyATimeoutBeforeTheResponseLeavesItUnanswered) {
  support::ScriptedPlacementPolicy policy;
  support::RecordedActions actions;
  RequestStateMachine machine(
      support::requestContext(catalogue::RouteKind::ResumableStream, 3), policy,
      actions);
  machine.start(Millis(0));
  machine.onTimer(machine.nextTimer());
  http1::ResponseHead head;
  head.Status = 200;
  ResponseAttributes attributes;
  attributes.Status = 200;
  attributes.Authentic = true;
  machine.onHead(head, attributes, Millis(1'000));
  machine.onTimer(machine.nextTimer());
  EXPECT_EQ(policy.Kinds,
            (std::vector{AttemptKind::First, AttemptKind::RetryUnanswered,
                         AttemptKind::Retry}));
}

} // namespace
