#include "cowslipridge/entry/Retry.hpp"
#include "cowslipridge/core/Error.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::entry;
using core::Errc;
using core::Outcome;

namespace {

rpc::RunResult failed(Errc reason, Outcome outcome) {
  rpc::RunResult result;
  result.Error = reason;
  result.Result = outcome;
  return result;
}

AttemptContext facts(bool idempotent) {
  AttemptContext it;
  it.Idempotent = idempotent;
  it.PlansLeft = true;
  it.Remaining = core::Millis(500);
  return it;
}

const RetryDecision Elsewhere = RetryElsewhere{};
const RetryDecision Stop = GiveUp{};

TEST(Retry, notRunGoesElsewhereEvenWhenNotIdempotent) {
  const auto result = failed(Errc::RunnerUnavailable, Outcome::NotRun);
  EXPECT_EQ(decideRetry(result, facts(false)), Elsewhere);
}

TEST(Retry, leavingAnInstanceCostsNoBudget) {
  const RetryDecision free = RetryElsewhere{true};
  EXPECT_EQ(decideRetry(failed(Errc::Leaving, Outcome::NotRun), facts(false)),
            free);
}

TEST(Retry, aTrialWithoutCreditsIsPlannedAround) {
  AttemptContext it = facts(true);
  it.OnTrial = true;
  const RetryDecision again = Replan{};
  const auto result = failed(Errc::Overloaded, Outcome::NotRun);
  EXPECT_EQ(decideRetry(result, it), again);
  EXPECT_EQ(decideRetry(result, facts(true)), Elsewhere);
}

TEST(Retry, unknownOutcomeIsNeverRunAgainUnlessIdempotent) {
  const auto result = failed(Errc::OutcomeUnknown, Outcome::Unknown);
  EXPECT_EQ(decideRetry(result, facts(false)), Stop);
  EXPECT_EQ(decideRetry(result, facts(true)), Elsewhere);
}

TEST(Retry, nothingFollowsAnAnswerThatHasStarted) {
  AttemptContext it = facts(true);
  it.AnswerStarted = true;
  EXPECT_EQ(decideRetry(failed(Errc::RunnerFailed, Outcome::Unknown), it),
            Stop);
}

TEST(Retry, nothingFollowsTheDeadline) {
  AttemptContext it = facts(true);
  it.Remaining = core::Millis(0);
  EXPECT_EQ(decideRetry(failed(Errc::Leaving, Outcome::NotRun), it), Stop);
}

TEST(Retry, theOwnerOfAKeyIsAsked) {
  rpc::RunResult result = failed(Errc::NotOwner, Outcome::NotRun);
  result.Owner = core::InstanceId("desk-2");
  const RetryDecision expected = RedirectToOwner{result.Owner};
  EXPECT_EQ(decideRetry(result, facts(false)), expected);
}

TEST(Retry, aKeyWithoutAnOwnerIsAskedForAgainForAWhile) {
  const auto result = failed(Errc::NotOwner, Outcome::NotRun);
  AttemptContext it = facts(false);
  EXPECT_TRUE(std::holds_alternative<WaitForOwner>(decideRetry(result, it)));
  it.OwnerWaits = 1'000;
  EXPECT_EQ(decideRetry(result, it), Stop);
  it = facts(false);
  it.Remaining = core::Millis(50);
  EXPECT_EQ(decideRetry(result, it), Stop);
}

TEST(Retry, aWithdrawnVersionIsPlannedAroundUnlessASessionIsPinned) {
  const auto result = failed(Errc::VersionWithdrawn, Outcome::NotRun);
  const RetryDecision again = Replan{};
  EXPECT_EQ(decideRetry(result, facts(true)), again);
  AttemptContext pinned = facts(true);
  pinned.PlansLeft = false;
  EXPECT_EQ(decideRetry(result, pinned), Stop);
}

TEST(Retry, refusalsThatHoldEverywhereAreFinal) {
  for (const Errc it : {Errc::NotAllowed, Errc::SessionEnded,
                        Errc::StoreUnavailable, Errc::DeadlineExceeded})
    EXPECT_EQ(decideRetry(failed(it, Outcome::NotRun), facts(true)), Stop);
}

} // namespace
