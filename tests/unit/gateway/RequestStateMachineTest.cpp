#include "cowslipridge/gateway/RequestStateMachine.hpp"

#include "support/RunnerStatements.hpp"
#include "support/ScriptedPlacementPolicy.hpp"

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
ResponseAttributes authentic(int status) {
  ResponseAttributes attributes;
  attributes.Status = status;
  attributes.Authentic = true;
  return attributes;
}
ResponseAttributes notRun(int status) {
  ResponseAttributes attributes;
  attributes.Status = status;
  attributes.NotRun = support::RunnerStatements::notRun();
  return attributes;
}

class RequestStateMachineTest : public testing::Test {
protected:
  void begin(RouteKind kind, unsigned maxAttempts = 3) {
    Machine.emplace(support::requestContext(kind, maxAttempts), Policy,
                    Actions);
    Machine->start(Millis(0));
  }
  void head(int status, const ResponseAttributes &attributes) {
    Machine->onHead(answer(status), attributes, Millis(10));
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

  support::ScriptedPlacementPolicy Policy;
  support::RecordedActions Actions;
  std::optional<RequestStateMachine> Machine;
};

TEST_F(RequestStateMachineTest, forwardsACompleteResponse) {
  begin(RouteKind::NonIdempotent, 1);
  served("body");
  EXPECT_EQ(Actions.Status, 200);
  EXPECT_EQ(Actions.Body, "body");
  EXPECT_TRUE(Machine->done());
}

TEST_F(RequestStateMachineTest, doesNotRetryAnUnsafeRequestThatMayHaveRun) {
  begin(RouteKind::NonIdempotent);
  Machine->onFailure(CallFailure::BrokenBeforeResponse, Millis(20));
  EXPECT_EQ(Actions.Attempts, 1);
  EXPECT_EQ(Actions.Status, 502);
  EXPECT_FALSE(Actions.RetryAfter);
}

TEST_F(RequestStateMachineTest, retriesAnUnsafeRequestThatCertainlyDidNotRun) {
  begin(RouteKind::NonIdempotent);
  rejected(503);
  EXPECT_EQ(Actions.Attempts, 2);
  Machine->onFailure(CallFailure::NotConnected, Millis(20));
  EXPECT_EQ(Actions.Attempts, 3);
  served("ok");
  EXPECT_EQ(Actions.Status, 200);
}

// Guards against a runner that is ejected because this gateway stood still
// while it connected.
TEST_F(RequestStateMachineTest,
       requestThatIsTooLateToSendDoesNotCountAgainstTheRunner) {
  begin(RouteKind::NonIdempotent, 1);
  Machine->onFailure(CallFailure::TooLateToSend, Millis(20));
  EXPECT_EQ(Policy.Outcomes.at(1), AttemptOutcome::Cancelled);
  EXPECT_EQ(Actions.Attempts, 2);
}

// Guards against callers that are told that a request may have run, although
// its time was over before it was sent.
TEST_F(RequestStateMachineTest, requestWhoseTimeIsOverBeforeItIsSentHasNotRun) {
  begin(RouteKind::NonIdempotent, 1);
  Machine->onFailure(
      CallFailure::TooLateToSend,
      support::requestContext(RouteKind::NonIdempotent, 1).Deadline -
          Millis(15));
  EXPECT_EQ(Actions.Attempts, 1);
  EXPECT_EQ(Actions.Status, 503);
  EXPECT_TRUE(Actions.RetryAfter.has_value());
}

// Guards against callers that are told that a request may have run, although it
// waited for a connection until its deadline.
TEST_F(RequestStateMachineTest, deadlineBeforeTheRequestIsSentMeansNotRun) {
  begin(RouteKind::NonIdempotent, 1);
  Actions.Sent = false;
  Machine->onTimer(Machine->nextTimer());
  EXPECT_EQ(Actions.Status, 503);
  EXPECT_TRUE(Actions.RetryAfter.has_value());
  EXPECT_EQ(Policy.Outcomes.at(1), AttemptOutcome::Cancelled);
}

// Guards against connections that are closed without an answer at the end of a
// planned stop.
TEST_F(RequestStateMachineTest, endOfTheProcessAnswersARequestThatMayHaveRun) {
  begin(RouteKind::NonIdempotent, 1);
  Machine->onProcessEnding(Millis(20));
  EXPECT_EQ(Actions.Status, 502);
  EXPECT_FALSE(Actions.RetryAfter.has_value());
  EXPECT_TRUE(Machine->done());
}

TEST_F(RequestStateMachineTest, endOfTheProcessAnswersNotRunToAnUnsentRequest) {
  begin(RouteKind::NonIdempotent, 1);
  Actions.Sent = false;
  Machine->onProcessEnding(Millis(20));
  EXPECT_EQ(Actions.Status, 503);
  EXPECT_TRUE(Actions.RetryAfter.has_value());
}

TEST_F(RequestStateMachineTest, endOfTheProcessBreaksAStreamOff) {
  begin(RouteKind::ResumableStream);
  head(200, authentic(200));
  Machine->onData("id: 1\ndata: a\n\n", Millis(11));
  Machine->onProcessEnding(Millis(20));
  EXPECT_TRUE(Actions.Aborted);
  Machine->onProcessEnding(Millis(21));
  EXPECT_TRUE(Machine->done());
}

// Guards against requests that wait at a runner and crash it although their
// prompt was found to crash runners meanwhile.
TEST_F(RequestStateMachineTest, endsAWaitingRequestThatThePolicyRefuses) {
  begin(RouteKind::ResumableStream);
  Machine->onPolicyChanged(Millis(5));
  EXPECT_FALSE(Machine->done());
  Policy.Refusal = NoPlacement{"refused", Millis(9'000)};
  Machine->onPolicyChanged(Millis(6));
  EXPECT_TRUE(Machine->done());
  EXPECT_EQ(Actions.Attempts, 1);
  // The runner may have begun to work on it.
  EXPECT_EQ(Actions.Status, 502);
  EXPECT_EQ(Policy.Outcomes.at(1), AttemptOutcome::Cancelled);
}

TEST_F(RequestStateMachineTest, answersInProgressOutliveARefusal) {
  begin(RouteKind::ResumableStream);
  head(200, authentic(200));
  Policy.Refusal = NoPlacement{"refused", Millis(9'000)};
  Machine->onPolicyChanged(Millis(20));
  EXPECT_FALSE(Machine->done());
  Machine->onData("id: 1\ndata: a\n\n", Millis(30));
  Machine->onEnd(Millis(40));
  EXPECT_EQ(Actions.Body, "id: 1\ndata: a\n\n");
}

TEST_F(RequestStateMachineTest, sendsRetryAfterWhenTheRunnerRejected) {
  begin(RouteKind::NonIdempotent, 1);
  rejected(503);
  EXPECT_EQ(Actions.Status, 503);
  ASSERT_TRUE(Actions.RetryAfter);
  EXPECT_GT(*Actions.RetryAfter, Millis(0)) << "the runner is at capacity";
}

TEST_F(RequestStateMachineTest, forwardsA500OfAnUnsafeRequestUnchanged) {
  begin(RouteKind::NonIdempotent);
  head(500, authentic(500));
  Machine->onData("sorry", Millis(11));
  Machine->onEnd(Millis(12));
  EXPECT_EQ(Actions.Attempts, 1);
  EXPECT_EQ(Actions.Responses, 1);
  EXPECT_EQ(Actions.Status, 500);
  EXPECT_EQ(Actions.Body, "sorry");
}

TEST_F(RequestStateMachineTest, forwardsTheErrorResponseWhenRetriesFail) {
  begin(RouteKind::Idempotent, 2);
  head(500, authentic(500));
  Machine->onData("sorry", Millis(11));
  Machine->onEnd(Millis(12));
  EXPECT_EQ(Actions.Attempts, 2);
  Machine->onFailure(CallFailure::BrokenBeforeResponse, Millis(20));
  EXPECT_EQ(Actions.Status, 500);
  EXPECT_EQ(Actions.Body, "sorry");
}

TEST_F(RequestStateMachineTest, retriesAfterAnUnsignedSuccess) {
  begin(RouteKind::Idempotent);
  head(200, {});
  EXPECT_EQ(Actions.Cancels, 1);
  EXPECT_EQ(Actions.Attempts, 2);
}

TEST_F(RequestStateMachineTest, retriesATruncatedResponseWithoutForwardingIt) {
  begin(RouteKind::Idempotent);
  head(200, authentic(200));
  Machine->onData("ha", Millis(11));
  Machine->onFailure(CallFailure::Broken, Millis(12));
  EXPECT_EQ(Actions.Begins, 0);
  served("whole");
  EXPECT_EQ(Actions.Body, "whole");
}

TEST_F(RequestStateMachineTest, resumesABrokenStreamAfterItsLastCompleteEvent) {
  begin(RouteKind::ResumableStream);
  head(200, authentic(200));
  Machine->onData("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", Millis(11));
  Machine->onFailure(CallFailure::Broken, Millis(12));
  EXPECT_EQ(Actions.Attempts, 2);
  EXPECT_EQ(Actions.After, 2U);
  head(200, authentic(200));
  Machine->onData("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", Millis(13));
  Machine->onEnd(Millis(14));
  EXPECT_EQ(Actions.Begins, 1);
  EXPECT_EQ(Actions.Body,
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  EXPECT_FALSE(Actions.Aborted);
}

/// A stream of which the caller has two events when its runner breaks off.
class ResumedStreamTest : public RequestStateMachineTest {
protected:
  void beginAndBreak(unsigned maxAttempts = 3) {
    begin(RouteKind::ResumableStream, maxAttempts);
    streamHead("text/event-stream");
    Machine->onData(Begun, Millis(11));
    Machine->onFailure(CallFailure::Broken, Millis(12));
    ASSERT_EQ(Actions.Attempts, 2);
  }
  void streamHead(const std::string &contentType) {
    auto it = answer(200);
    it.Fields.add("Content-Type", contentType);
    Machine->onHead(it, authentic(200), Millis(20));
  }

  const std::string Begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
};

// Guards against the body of a failure in the middle of a caller's stream.
TEST_F(ResumedStreamTest, failureOfAnyStatusIsNoPartOfTheStream) {
  for (const int status : {300, 400, 404, 429, 500}) {
    Actions = {};
    Policy = {};
    beginAndBreak(2);
    head(status, authentic(status));
    Machine->onData("the model is not loaded", Millis(21));
    Machine->onEnd(Millis(22));
    EXPECT_EQ(Actions.Body, Begun) << status;
    EXPECT_TRUE(Actions.Aborted) << status;
  }
}

TEST_F(ResumedStreamTest, rejectionAsMalformedBreaksTheStreamOff) {
  beginAndBreak(2);
  rejected(400);
  EXPECT_EQ(Actions.Body, Begun);
  EXPECT_TRUE(Actions.Aborted);
}

TEST_F(ResumedStreamTest, longFailureIsNoPartOfTheStream) {
  beginAndBreak(2);
  head(404, authentic(404));
  Machine->onData(std::string(300UL * 1024, 'x'), Millis(21));
  EXPECT_EQ(Actions.Body, Begun);
  EXPECT_TRUE(Actions.Aborted);
}

TEST_F(ResumedStreamTest, nextRunnerContinuesAfterAFailedResumption) {
  beginAndBreak();
  head(404, authentic(404));
  Machine->onEnd(Millis(21));
  ASSERT_EQ(Actions.Attempts, 3);
  EXPECT_EQ(Actions.After, 2U);
  streamHead("text/event-stream");
  Machine->onData("id: 3\ndata: c\n\n", Millis(24));
  Machine->onEnd(Millis(25));
  EXPECT_EQ(Actions.Body, Begun + "id: 3\ndata: c\n\n");
  EXPECT_FALSE(Actions.Aborted);
}

TEST_F(ResumedStreamTest, anotherTypeOfContentIsNoPartOfTheStream) {
  beginAndBreak(2);
  streamHead("application/json");
  EXPECT_EQ(Actions.Body, Begun);
  EXPECT_TRUE(Actions.Aborted);
}

TEST_F(ResumedStreamTest, streamThatLeavesOutEventsIsNotJoined) {
  beginAndBreak(2);
  streamHead("text/event-stream");
  Machine->onData("id: 2\ndata: b\n\nid: 4\ndata: d\n\n", Millis(24));
  EXPECT_EQ(Actions.Body, Begun);
  EXPECT_TRUE(Actions.Aborted);
}

/// A stream without a length: its end is that of its connection, which the end
/// of the runner's process looks like.
class UnframedStreamTest : public RequestStateMachineTest {
protected:
  void unframedHead(http1::Framing framing = http1::Framing::UntilClose) {
    auto it = answer(200);
    it.Body = framing;
    Machine->onHead(it, authentic(200), Millis(10));
  }
  void beginAndEnd(RouteKind kind = RouteKind::ResumableStream,
                   unsigned maxAttempts = 3) {
    begin(kind, maxAttempts);
    unframedHead();
    Machine->onData(Begun, Millis(11));
    Machine->onEnd(Millis(12));
  }

  const std::string Begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
};

// Guards against a stream that ends as complete before its last event, because
// its runner ended at the end of an event.
TEST_F(UnframedStreamTest, endOfTheRunnerIsNotTheEndOfTheStream) {
  beginAndEnd();
  ASSERT_EQ(Actions.Attempts, 2);
  EXPECT_EQ(Actions.Responses, 0);
  EXPECT_EQ(Actions.After, 2U);
  unframedHead(http1::Framing::Chunked);
  Machine->onData("id: 3\ndata: c\n\n", Millis(21));
  Machine->onEnd(Millis(22));
  EXPECT_EQ(Actions.Body, Begun + "id: 3\ndata: c\n\n");
  EXPECT_EQ(Actions.Responses, 1);
  EXPECT_FALSE(Actions.Aborted);
}

TEST_F(UnframedStreamTest, endsOnceAnotherRunnerHasNothingToAdd) {
  beginAndEnd();
  unframedHead(http1::Framing::Chunked);
  Machine->onEnd(Millis(22));
  EXPECT_EQ(Actions.Body, Begun);
  EXPECT_TRUE(Machine->done());
  EXPECT_FALSE(Actions.Aborted);
}

// What the protocol takes for complete is not broken off when it can't be
// confirmed.
TEST_F(UnframedStreamTest, endsAsCompleteWhenNothingCanConfirmIt) {
  beginAndEnd();
  head(404, authentic(404));
  Machine->onEnd(Millis(22));
  Machine->onFailure(CallFailure::BrokenBeforeResponse, Millis(23));
  EXPECT_TRUE(Machine->done());
  EXPECT_FALSE(Actions.Aborted);
  beginAndEnd(RouteKind::ResumableStream, 1);
  EXPECT_TRUE(Machine->done());
  EXPECT_FALSE(Actions.Aborted);
}

TEST_F(UnframedStreamTest, endsAsCompleteAtTheDeadline) {
  beginAndEnd();
  Machine->onTimer(Machine->request().Deadline);
  EXPECT_TRUE(Machine->done());
  EXPECT_FALSE(Actions.Aborted);
}

TEST_F(UnframedStreamTest, breakAfterFurtherEventsIsVisible) {
  beginAndEnd(RouteKind::ResumableStream, 2);
  unframedHead(http1::Framing::Chunked);
  Machine->onData("id: 3\ndata: c\n\n", Millis(21));
  Machine->onFailure(CallFailure::Broken, Millis(22));
  EXPECT_TRUE(Actions.Aborted);
}

TEST_F(UnframedStreamTest, streamThatIsNotResumableRunsOnce) {
  beginAndEnd(RouteKind::Stream);
  EXPECT_EQ(Actions.Attempts, 1);
  EXPECT_TRUE(Machine->done());
}

TEST_F(RequestStateMachineTest, abortsABrokenStreamThatIsNotResumable) {
  begin(RouteKind::Stream);
  head(200, authentic(200));
  Machine->onData("id: 1\ndata: a\n\n", Millis(11));
  Machine->onFailure(CallFailure::Broken, Millis(12));
  EXPECT_EQ(Actions.Attempts, 1);
  EXPECT_TRUE(Actions.Aborted);
}

TEST_F(RequestStateMachineTest, abortsAStreamThatEndsWithinAnEvent) {
  begin(RouteKind::Stream);
  head(200, authentic(200));
  Machine->onData("id: 1\nda", Millis(11));
  Machine->onEnd(Millis(12));
  EXPECT_TRUE(Actions.Aborted);
}

TEST_F(RequestStateMachineTest, escalatesALowConfidenceAnswer) {
  Policy.FirstTier = 0;
  begin(RouteKind::ResumableStream);
  ResponseAttributes lowConfidence = authentic(200);
  lowConfidence.Confidence = 20;
  head(200, lowConfidence);
  EXPECT_EQ(Actions.Begins, 0) << "nothing of it was forwarded";
  EXPECT_EQ(Actions.Cancels, 1);
  EXPECT_EQ(Actions.Tier, 1U);
  EXPECT_EQ(Policy.Outcomes.at(1), AttemptOutcome::Cancelled);
}

TEST_F(RequestStateMachineTest, acceptsALowConfidenceAnswerWithoutAPlacement) {
  Policy.FirstTier = 0;
  Policy.AllowRetries = false;
  begin(RouteKind::ResumableStream);
  ResponseAttributes lowConfidence = authentic(200);
  lowConfidence.Confidence = 20;
  head(200, lowConfidence);
  EXPECT_EQ(Actions.Begins, 1);
  EXPECT_EQ(Actions.Cancels, 0);
}

TEST_F(RequestStateMachineTest, retriesOnAnotherRunnerAfterATimeout) {
  begin(RouteKind::Idempotent);
  Machine->onTimer(Machine->nextTimer());
  EXPECT_EQ(Actions.Attempts, 2);
  EXPECT_EQ(Actions.Cancels, 1);
  EXPECT_EQ(Policy.Outcomes.at(1), AttemptOutcome::TimedOut);
  EXPECT_EQ(Policy.LastExcluded, std::vector{core::RunnerId("r1")});
}

TEST_F(RequestStateMachineTest, keepsWaitingAfterATimeoutWithoutAnotherRunner) {
  begin(RouteKind::Idempotent);
  Policy.PlacementsLeft = 0;
  Machine->onTimer(Machine->nextTimer());
  EXPECT_EQ(Actions.Cancels, 0);
  served("late");
  EXPECT_EQ(Actions.Status, 200);
  EXPECT_EQ(Actions.Waits, 1);
}

TEST_F(RequestStateMachineTest, respondsWith504AtTheDeadline) {
  begin(RouteKind::NonIdempotent);
  Machine->onTimer(Machine->nextTimer());
  EXPECT_EQ(Actions.Status, 504);
  EXPECT_EQ(Actions.Cancels, 1);
}

TEST_F(RequestStateMachineTest, rejectsAtOnceWithoutARunner) {
  Policy.PlacementsLeft = 0;
  begin(RouteKind::Idempotent);
  EXPECT_EQ(Actions.Status, 503);
  EXPECT_EQ(Actions.RetryAfter, Millis(300));
}

TEST_F(RequestStateMachineTest, takesNoActionAfterTheCallerDisconnected) {
  begin(RouteKind::Idempotent);
  Machine->onCallerDisconnected(Millis(20));
  EXPECT_EQ(Actions.Cancels, 1);
  served("late");
  Machine->onFailure(CallFailure::Broken, Millis(30));
  Machine->onTimer(Millis(20'000));
  EXPECT_EQ(Actions.Responses, 0);
  EXPECT_EQ(Actions.Attempts, 1);
}

// Guards against retries beyond the budget while runners restart under their
// addresses: a runner that rejects a request as misdirected has received it.
TEST_F(RequestStateMachineTest, attemptAfterAMisdirectedOneIsChargedAsARetry) {
  begin(RouteKind::NonIdempotent, 3);
  rejected(421);
  Machine->onFailure(CallFailure::NotConnected, Millis(20));
  EXPECT_EQ(Policy.Kinds, (std::vector{AttemptKind::First, AttemptKind::Retry,
                                       AttemptKind::Retry}));
}

TEST_F(RequestStateMachineTest, aMisdirectedRequestIsNotCountedAsAnAttempt) {
  begin(RouteKind::NonIdempotent, 1);
  rejected(421);
  EXPECT_EQ(Actions.Attempts, 2);
  EXPECT_EQ(Policy.Outcomes.at(1), AttemptOutcome::Unreachable);
  for (int n = 0; n < 10; ++n)
    rejected(421);
  EXPECT_EQ(Actions.Attempts, 3) << "the number of failed connects is bounded";
  EXPECT_EQ(Actions.Status, 503);
}

// Guards against callers that are told "not run" for an unsafe request that its
// runner may have run: only the runner's own statement shows that it didn't.
TEST_F(RequestStateMachineTest, refusalWithoutAStatementIsNoPromise) {
  for (const int status : {408, 421, 429, 503}) {
    Actions = {};
    begin(RouteKind::NonIdempotent);
    head(status, authentic(status));
    Machine->onEnd(Millis(12));
    EXPECT_EQ(Actions.Attempts, 1) << status;
    EXPECT_EQ(Actions.Responses, 1) << status;
    EXPECT_EQ(Actions.Status, 502) << status;
    EXPECT_FALSE(Actions.RetryAfter.has_value()) << status;
  }
}

// Guards against requests that run on more runners than their route allows.
TEST_F(RequestStateMachineTest, refusalWithoutAStatementCountsAsAnAttempt) {
  for (const int status : {408, 421, 429, 503}) {
    Actions = {};
    begin(RouteKind::Idempotent, 2);
    for (int n = 0; n < 2; ++n) {
      head(status, authentic(status));
      Machine->onEnd(Millis(12));
    }
    EXPECT_EQ(Actions.Attempts, 2) << status;
    EXPECT_EQ(Actions.Status, 502) << status;
  }
}

// The status would promise to the caller that the request did not run.
TEST_F(RequestStateMachineTest, refusalWithoutAStatementIsNotPassedOn) {
  for (const int status : {408, 421, 429, 503}) {
    Actions = {};
    begin(RouteKind::Idempotent, 1);
    head(status, authentic(status));
    Machine->onEnd(Millis(12));
    EXPECT_EQ(Actions.Status, 502) << status;
    EXPECT_EQ(Actions.Body, "");
  }
}

TEST_F(RequestStateMachineTest, countsOneFirstAttemptPerRequest) {
  begin(RouteKind::Idempotent);
  Machine->onFailure(CallFailure::NotConnected, Millis(5));
  rejected(503);
  EXPECT_EQ(Policy.Kinds,
            (std::vector{AttemptKind::First, AttemptKind::Failover,
                         AttemptKind::Retry}));
}

TEST_F(RequestStateMachineTest, reportsWhyALowConfidenceAnswerIsAccepted) {
  Policy.FirstTier = 0;
  Policy.NoTimeForLarger = true;
  ResponseAttributes lowConfidence = authentic(200);
  lowConfidence.Confidence = 20;
  begin(RouteKind::ResumableStream);
  head(200, lowConfidence);
  EXPECT_EQ(Actions.Begins, 1);
  EXPECT_EQ(Actions.AcceptedReason, "no time for the larger model");
}

TEST_F(RequestStateMachineTest,
       acceptsALowConfidenceAnswerWhenTheBudgetIsExhausted) {
  Policy.FirstTier = 0;
  Policy.AllowRetries = false;
  ResponseAttributes lowConfidence = authentic(200);
  lowConfidence.Confidence = 20;
  begin(RouteKind::ResumableStream);
  head(200, lowConfidence);
  EXPECT_EQ(Actions.Begins, 1);
  EXPECT_EQ(Actions.Escalations, 0);
  EXPECT_EQ(Actions.AcceptedReason, "no placement");
  EXPECT_EQ(Policy.Kinds.back(), AttemptKind::Escalate);
}

TEST_F(RequestStateMachineTest, reportsTheOutcomeOfTheAttemptBeforeEachRetry) {
  begin(RouteKind::Idempotent);
  Machine->onFailure(CallFailure::NotConnected, Millis(5));
  rejected(503);
  Machine->onFailure(CallFailure::BrokenBeforeResponse, Millis(20));
  EXPECT_EQ(Actions.Retried,
            (std::vector{AttemptOutcome::Unreachable, AttemptOutcome::Rejected,
                         AttemptOutcome::Broken}));
}

TEST_F(RequestStateMachineTest, limitsTheNumberOfAttempts) {
  begin(RouteKind::Idempotent, 2);
  rejected(503);
  rejected(503);
  EXPECT_EQ(Actions.Attempts, 2);
  EXPECT_EQ(Actions.Status, 503);
}

// The caller must not come back while all runners still want no requests.
TEST_F(RequestStateMachineTest, namesTheBackoffOfTheRunnersToTheCaller) {
  Policy.RetryAfter = Millis(900);
  begin(RouteKind::NonIdempotent, 1);
  rejected(503);
  EXPECT_EQ(Actions.Status, 503);
  EXPECT_EQ(Actions.RetryAfter, Millis(900));
}

/// Feeds bytes until the machine is done with the attempt; returns how many it
/// took at most.
std::size_t feedWithoutEnd(RequestStateMachine &machine,
                           const support::RecordedActions &actions,
                           const std::string &bytes) {
  constexpr std::size_t Most = 8UL * 1024 * 1024;
  std::size_t fed = 0;
  while (fed < Most && !machine.done() && actions.Cancels == 0) {
    machine.onData(bytes, Millis(20));
    fed += bytes.size();
  }
  return fed;
}

constexpr std::size_t MaxTaken = 128UL * 1024;

// Guards against the memory that a faulty runner's endless bytes would fill.
TEST_F(RequestStateMachineTest, retriesAfterAnErrorResponseWithoutEnd) {
  begin(RouteKind::Idempotent);
  head(500, authentic(500));
  EXPECT_LT(feedWithoutEnd(*Machine, Actions, std::string(8'192, 'x')),
            MaxTaken);
  EXPECT_EQ(Actions.Attempts, 2);
  served("ok");
  EXPECT_EQ(Actions.Status, 200);
  EXPECT_EQ(Actions.Body, "ok");
}

TEST_F(RequestStateMachineTest, anEndlessRejectionStillMeansNotRun) {
  begin(RouteKind::NonIdempotent);
  head(503, notRun(503));
  EXPECT_LT(feedWithoutEnd(*Machine, Actions, std::string(8'192, 'x')),
            MaxTaken);
  EXPECT_EQ(Actions.Attempts, 2) << "an unsafe request may go on";
}

// Guards against streams that take up the processor of the gateway with bytes
// that bring their caller nothing.
TEST_F(RequestStateMachineTest, resumesAfterAStreamOfPadding) {
  for (const std::string &padding :
       {std::string(8'192, '\n'), std::string(": ping\n\n"),
        std::string("id: 1\ndata: a\n\n")}) {
    Actions = {};
    begin(RouteKind::ResumableStream);
    head(200, authentic(200));
    Machine->onData("id: 1\ndata: a\n\n", Millis(11));
    EXPECT_LT(feedWithoutEnd(*Machine, Actions, padding), MaxTaken);
    EXPECT_EQ(Actions.Attempts, 2) << padding;
  }
}

// Guards against streams that a faulty runner continues without end.
TEST_F(RequestStateMachineTest, breaksAStreamWithMoreEventsThanTokens) {
  constexpr std::uint64_t Tokens = 40;
  gateway::RequestContext context =
      support::requestContext(RouteKind::ResumableStream, 1);
  context.Caller.MaxOutputTokens = Tokens;
  Machine.emplace(std::move(context), Policy, Actions);
  Machine->start(Millis(0));
  head(200, authentic(200));
  std::uint64_t id = 0;
  while (!Actions.Aborted && id < 10 * Tokens) {
    ++id;
    Machine->onData("id: " + std::to_string(id) + "\ndata: a\n\n", Millis(20));
    EXPECT_TRUE(id > Tokens || !Actions.Aborted) << id;
  }
  EXPECT_TRUE(Actions.Aborted);
  EXPECT_LT(id, 2 * Tokens);
}

TEST_F(RequestStateMachineTest, resumesAfterAnEventWithoutEnd) {
  begin(RouteKind::ResumableStream);
  head(200, authentic(200));
  Machine->onData("id: 1\ndata: a\n\n", Millis(11));
  EXPECT_LT(feedWithoutEnd(*Machine, Actions, std::string(8'192, 'x')),
            MaxTaken);
  EXPECT_EQ(Actions.Attempts, 2);
  head(200, authentic(200));
  Machine->onData("id: 2\ndata: b\n\n", Millis(30));
  Machine->onEnd(Millis(31));
  EXPECT_EQ(Actions.Body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against a stream that is kept alive by bytes which are no events.
TEST_F(RequestStateMachineTest, bytesWithoutEventsDoNotKeepAStreamAlive) {
  begin(RouteKind::ResumableStream);
  head(200, authentic(200));
  const Millis idleAt = Machine->nextTimer();
  Machine->onData("x", Millis(900));
  EXPECT_EQ(Machine->nextTimer(), idleAt);
  Machine->onData("\n\n", Millis(950));
  EXPECT_GT(Machine->nextTimer(), idleAt);
}

} // namespace
