#include "cowslipridge/gateway/RequestMachine.hpp"

#include "support/ScriptedPlacer.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using catalogue::RouteKind;
using core::Millis;
using http1::CallFailure;

namespace {

http1::ResponseHead answer(int status) {
  http1::ResponseHead head;
  head.Status = status;
  return head;
}
RunnerVerdict authentic(int status) {
  RunnerVerdict verdict;
  verdict.Status = status;
  verdict.Authentic = true;
  return verdict;
}
RunnerVerdict notRun(int status) {
  RunnerVerdict verdict;
  verdict.Status = status;
  verdict.NotRun = true;
  return verdict;
}

class RequestMachineTest : public testing::Test {
protected:
  void begin(RouteKind kind, unsigned maxAttempts = 3) {
    Machine.emplace(support::requestFacts(kind, maxAttempts), Placer, Actions);
    Machine->start(Millis(0));
  }
  void head(int status, const RunnerVerdict &verdict) {
    Machine->onHead(answer(status), verdict, Millis(10));
  }
  void served(const std::string &body) {
    head(200, authentic(200));
    Machine->onData(body, Millis(11));
    Machine->onEnd(Millis(12));
  }
  void rejected(int status) {
    head(status, notRun(status));
    Machine->onEnd(Millis(12));
  }

  support::ScriptedPlacer Placer;
  support::RecordedActions Actions;
  std::optional<RequestMachine> Machine;
};

TEST_F(RequestMachineTest, aWholeAnswerIsPassedOn) {
  begin(RouteKind::NonIdempotent, 1);
  served("body");
  EXPECT_EQ(Actions.Status, 200);
  EXPECT_EQ(Actions.Body, "body");
  EXPECT_TRUE(Machine->done());
}

TEST_F(RequestMachineTest, anUnsafeRequestIsNotSentAgainOnceItMayHaveRun) {
  begin(RouteKind::NonIdempotent);
  Machine->onFailure(CallFailure::BrokenBeforeResponse, Millis(20));
  EXPECT_EQ(Actions.Sends, 1);
  EXPECT_EQ(Actions.Status, 502);
  EXPECT_FALSE(Actions.RetryAfter);
}

TEST_F(RequestMachineTest, anUnsafeRequestGoesOnAfterAProofThatItDidNotRun) {
  begin(RouteKind::NonIdempotent);
  rejected(503);
  EXPECT_EQ(Actions.Sends, 2);
  Machine->onFailure(CallFailure::NotConnected, Millis(20));
  EXPECT_EQ(Actions.Sends, 3);
  served("ok");
  EXPECT_EQ(Actions.Status, 200);
}

TEST_F(RequestMachineTest, notRunIsSaidWithATimeToComeBack) {
  begin(RouteKind::NonIdempotent, 1);
  rejected(503);
  EXPECT_EQ(Actions.Status, 503);
  ASSERT_TRUE(Actions.RetryAfter);
  EXPECT_GT(*Actions.RetryAfter, Millis(0)) << "the runner is full now";
}

TEST_F(RequestMachineTest, a503WithoutProofIsPassedOnAsItCame) {
  begin(RouteKind::NonIdempotent);
  head(503, authentic(503));
  Machine->onEnd(Millis(12));
  EXPECT_EQ(Actions.Sends, 1);
  EXPECT_EQ(Actions.Answers, 1);
  EXPECT_EQ(Actions.Status, 503);
}

TEST_F(RequestMachineTest, aFailureIsPassedOnWhenNothingBetterComes) {
  begin(RouteKind::Idempotent, 2);
  head(500, authentic(500));
  Machine->onData("sorry", Millis(11));
  Machine->onEnd(Millis(12));
  EXPECT_EQ(Actions.Sends, 2);
  Machine->onFailure(CallFailure::BrokenBeforeResponse, Millis(20));
  EXPECT_EQ(Actions.Status, 500);
  EXPECT_EQ(Actions.Body, "sorry");
}

TEST_F(RequestMachineTest, anUnsignedSuccessIsNoAnswer) {
  begin(RouteKind::Idempotent);
  head(200, {});
  EXPECT_EQ(Actions.Cancels, 1);
  EXPECT_EQ(Actions.Sends, 2);
}

TEST_F(RequestMachineTest, aCutAnswerIsHeldBackAndAskedAgain) {
  begin(RouteKind::Idempotent);
  head(200, authentic(200));
  Machine->onData("ha", Millis(11));
  Machine->onFailure(CallFailure::Broken, Millis(12));
  EXPECT_EQ(Actions.Begins, 0);
  served("whole");
  EXPECT_EQ(Actions.Body, "whole");
}

TEST_F(RequestMachineTest, aBrokenStreamGoesOnBehindItsLastWholeEvent) {
  begin(RouteKind::ResumableStream);
  head(200, authentic(200));
  Machine->onData("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", Millis(11));
  Machine->onFailure(CallFailure::Broken, Millis(12));
  EXPECT_EQ(Actions.Sends, 2);
  EXPECT_EQ(Actions.After, 2U);
  head(200, authentic(200));
  Machine->onData("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", Millis(13));
  Machine->onEnd(Millis(14));
  EXPECT_EQ(Actions.Begins, 1);
  EXPECT_EQ(Actions.Body,
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  EXPECT_FALSE(Actions.Aborted);
}

TEST_F(RequestMachineTest, aStreamThatMayNotBeResumedIsBrokenOff) {
  begin(RouteKind::Stream);
  head(200, authentic(200));
  Machine->onData("id: 1\ndata: a\n\n", Millis(11));
  Machine->onFailure(CallFailure::Broken, Millis(12));
  EXPECT_EQ(Actions.Sends, 1);
  EXPECT_TRUE(Actions.Aborted);
}

TEST_F(RequestMachineTest, aStreamThatEndsWithinAnEventIsNotWhole) {
  begin(RouteKind::Stream);
  head(200, authentic(200));
  Machine->onData("id: 1\nda", Millis(11));
  Machine->onEnd(Millis(12));
  EXPECT_TRUE(Actions.Aborted);
}

TEST_F(RequestMachineTest, aDoubtfulAnswerIsDroppedForALargerModel) {
  Placer.FirstTier = 0;
  begin(RouteKind::ResumableStream);
  RunnerVerdict doubtful = authentic(200);
  doubtful.Confidence = 20;
  head(200, doubtful);
  EXPECT_EQ(Actions.Begins, 0) << "the caller has seen nothing of it";
  EXPECT_EQ(Actions.Cancels, 1);
  EXPECT_EQ(Actions.Tier, 1U);
  EXPECT_EQ(Placer.Outcomes.at(1), SendOutcome::Dropped);
}

TEST_F(RequestMachineTest, aDoubtfulAnswerIsKeptWithoutABetterPlace) {
  Placer.FirstTier = 0;
  Placer.AllowRepeats = false;
  begin(RouteKind::ResumableStream);
  RunnerVerdict doubtful = authentic(200);
  doubtful.Confidence = 20;
  head(200, doubtful);
  EXPECT_EQ(Actions.Begins, 1);
  EXPECT_EQ(Actions.Cancels, 0);
}

TEST_F(RequestMachineTest, aSilentRunnerIsLeftForAnother) {
  begin(RouteKind::Idempotent);
  Machine->onTimer(Machine->nextTimer());
  EXPECT_EQ(Actions.Sends, 2);
  EXPECT_EQ(Actions.Cancels, 1);
  EXPECT_EQ(Placer.Outcomes.at(1), SendOutcome::Silent);
  EXPECT_EQ(Placer.ExcludedLast, std::vector{core::RunnerId("r1")});
}

TEST_F(RequestMachineTest, aSilentRunnerIsKeptWithoutAnother) {
  begin(RouteKind::Idempotent);
  Placer.Places = 0;
  Machine->onTimer(Machine->nextTimer());
  EXPECT_EQ(Actions.Cancels, 0);
  served("late");
  EXPECT_EQ(Actions.Status, 200);
  EXPECT_EQ(Actions.Waits, 1);
}

TEST_F(RequestMachineTest, atTheDeadlineThereIsAnAnswer) {
  begin(RouteKind::NonIdempotent);
  Machine->onTimer(Machine->nextTimer());
  EXPECT_EQ(Actions.Status, 504);
  EXPECT_EQ(Actions.Cancels, 1);
}

TEST_F(RequestMachineTest, withoutARunnerItIsRefusedAtOnce) {
  Placer.Places = 0;
  begin(RouteKind::Idempotent);
  EXPECT_EQ(Actions.Status, 503);
  EXPECT_EQ(Actions.RetryAfter, Millis(300));
}

TEST_F(RequestMachineTest, nothingHappensAfterTheCallerLeft) {
  begin(RouteKind::Idempotent);
  Machine->onCallerLeft(Millis(20));
  EXPECT_EQ(Actions.Cancels, 1);
  served("late");
  Machine->onFailure(CallFailure::Broken, Millis(30));
  Machine->onTimer(Millis(20'000));
  EXPECT_EQ(Actions.Answers, 0);
  EXPECT_EQ(Actions.Sends, 1);
}

TEST_F(RequestMachineTest, anAddressOfAnotherRunnerUsesUpNoAttempt) {
  begin(RouteKind::NonIdempotent, 1);
  rejected(421);
  EXPECT_EQ(Actions.Sends, 2);
  EXPECT_EQ(Placer.Outcomes.at(1), SendOutcome::Unreachable);
  for (int n = 0; n < 10; ++n)
    rejected(421);
  EXPECT_EQ(Actions.Sends, 3) << "but there is an end to it";
  EXPECT_EQ(Actions.Status, 503);
}

TEST_F(RequestMachineTest, aRequestCountsOnceForTheBudget) {
  begin(RouteKind::Idempotent);
  Machine->onFailure(CallFailure::NotConnected, Millis(5));
  rejected(503);
  EXPECT_EQ(Placer.Kinds, (std::vector{SendKind::First, SendKind::Another,
                                       SendKind::Repeat}));
}

TEST_F(RequestMachineTest, aDoubtedAnswerThatIsKeptSaysWhy) {
  Placer.FirstTier = 0;
  Placer.NoTimeForLarger = true;
  RunnerVerdict doubtful = authentic(200);
  doubtful.Confidence = 20;
  begin(RouteKind::ResumableStream);
  head(200, doubtful);
  EXPECT_EQ(Actions.Begins, 1);
  EXPECT_EQ(Actions.KeptBecause, "no time for the larger model");
}

TEST_F(RequestMachineTest, aDoubtedAnswerIsKeptWhenTheBudgetIsSpent) {
  Placer.FirstTier = 0;
  Placer.AllowRepeats = false;
  RunnerVerdict doubtful = authentic(200);
  doubtful.Confidence = 20;
  begin(RouteKind::ResumableStream);
  head(200, doubtful);
  EXPECT_EQ(Actions.Begins, 1);
  EXPECT_EQ(Actions.Escalations, 0);
  EXPECT_EQ(Actions.KeptBecause, "no place");
  EXPECT_EQ(Placer.Kinds.back(), SendKind::Escalate);
}

TEST_F(RequestMachineTest, aRetryNamesHowTheSendingBeforeEnded) {
  begin(RouteKind::Idempotent);
  Machine->onFailure(CallFailure::NotConnected, Millis(5));
  rejected(503);
  Machine->onFailure(CallFailure::BrokenBeforeResponse, Millis(20));
  EXPECT_EQ(Actions.Retried,
            (std::vector{SendOutcome::Unreachable, SendOutcome::Rejected,
                         SendOutcome::Broken}));
}

TEST_F(RequestMachineTest, attemptsAreBounded) {
  begin(RouteKind::Idempotent, 2);
  rejected(503);
  rejected(503);
  EXPECT_EQ(Actions.Sends, 2);
  EXPECT_EQ(Actions.Status, 503);
}

} // namespace
