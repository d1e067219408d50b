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

AttemptContext makeContext(bool idempotent) {
  AttemptContext it;
  it.Idempotent = idempotent;
  it.MayReplan = true;
  it.Remaining = core::Millis(500);
  return it;
}

const RetryDecision Elsewhere = RetryElsewhere{};
const RetryDecision Stop = GiveUp{};

TEST(Retry, retriesNonIdempotentRequestThatDidNotRun) {
  const auto result = failed(Errc::RunnerUnavailable, Outcome::NotRun);
  EXPECT_EQ(decideRetry(result, makeContext(false)), Elsewhere);
}

TEST(Retry, retryAfterRefusalByDrainingInstanceIsFree) {
  const RetryDecision free = RetryElsewhere{true};
  EXPECT_EQ(
      decideRetry(failed(Errc::Leaving, Outcome::NotRun), makeContext(false)),
      free);
}

TEST(Retry, replansWhenTrialVersionHasNoCredits) {
  AttemptContext it = makeContext(true);
  it.OnTrial = true;
  const RetryDecision again = Replan{};
  const auto result = failed(Errc::Overloaded, Outcome::NotRun);
  EXPECT_EQ(decideRetry(result, it), again);
  EXPECT_EQ(decideRetry(result, makeContext(true)), Elsewhere);
}

TEST(Retry, retriesUnknownOutcomeOnlyIfIdempotent) {
  const auto result = failed(Errc::OutcomeUnknown, Outcome::Unknown);
  EXPECT_EQ(decideRetry(result, makeContext(false)), Stop);
  EXPECT_EQ(decideRetry(result, makeContext(true)), Elsewhere);
}

TEST(Retry, givesUpOnceTheAnswerHasStarted) {
  AttemptContext it = makeContext(true);
  it.AnswerStarted = true;
  EXPECT_EQ(decideRetry(failed(Errc::RunnerFailed, Outcome::Unknown), it),
            Stop);
}

TEST(Retry, givesUpAfterTheDeadline) {
  AttemptContext it = makeContext(true);
  it.Remaining = core::Millis(0);
  EXPECT_EQ(decideRetry(failed(Errc::Leaving, Outcome::NotRun), it), Stop);
}

TEST(Retry, redirectsToTheOwnerOfTheKey) {
  rpc::RunResult result = failed(Errc::NotOwner, Outcome::NotRun);
  result.Owner = core::InstanceId("desk-2");
  const RetryDecision expected = RedirectToOwner{result.Owner};
  EXPECT_EQ(decideRetry(result, makeContext(false)), expected);
}

TEST(Retry, waitsForAnOwnerWithinLimits) {
  const auto result = failed(Errc::NotOwner, Outcome::NotRun);
  AttemptContext it = makeContext(false);
  EXPECT_TRUE(std::holds_alternative<WaitForOwner>(decideRetry(result, it)));
  it.OwnerWaits = 1'000;
  EXPECT_EQ(decideRetry(result, it), Stop);
  it = makeContext(false);
  it.Remaining = core::Millis(50);
  EXPECT_EQ(decideRetry(result, it), Stop);
}

TEST(Retry, replansWithdrawnVersionUnlessSessionIsPinned) {
  const auto result = failed(Errc::VersionWithdrawn, Outcome::NotRun);
  const RetryDecision again = Replan{};
  EXPECT_EQ(decideRetry(result, makeContext(true)), again);
  AttemptContext pinned = makeContext(true);
  pinned.MayReplan = false;
  EXPECT_EQ(decideRetry(result, pinned), Stop);
}

TEST(Retry, givesUpOnRefusalsThatAllRunnersWouldReturn) {
  for (const Errc it : {Errc::NotAllowed, Errc::SessionEnded,
                        Errc::StoreUnavailable, Errc::DeadlineExceeded})
    EXPECT_EQ(decideRetry(failed(it, Outcome::NotRun), makeContext(true)),
              Stop);
}

} // namespace
