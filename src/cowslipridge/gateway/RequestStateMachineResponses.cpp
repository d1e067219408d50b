#include "cowslipridge/gateway/RequestStateMachine.hpp"

#include <algorithm>

// The responses of runners: what is forwarded, retried or escalated.
namespace cowslipridge::gateway {

namespace {

/// Larger responses of plain services are streamed instead of buffered.
constexpr std::size_t MaxBufferedBytes = 256UL * 1024;
/// Larger error responses count as broken.
constexpr std::size_t MaxErrorBytes = 64UL * 1024;
constexpr int MisdirectedRequest = 421;
constexpr std::string_view ContentType = "Content-Type";

constexpr int NoContent = 204;
constexpr int RequestTimeout = 408;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

bool isFailure(int status) { return status >= 500; }
bool isSuccess(int status) { return status >= 200 && status < 300; }

// A stream need not name its type.
bool isStreamHead(const http1::ResponseHead &head) {
  constexpr std::string_view EventStream = "text/event-stream";
  const auto type = head.Fields.find(ContentType);
  return head.Status != NoContent &&
         (!type ||
          http1::sameName(type->substr(0, EventStream.size()), EventStream));
}

} // namespace

bool promisesNotRun(int status) {
  return status == RequestTimeout || status == MisdirectedRequest ||
         status == TooManyRequests || status == ServiceUnavailable;
}

void RequestStateMachine::onHead(const http1::ResponseHead &head,
                                 const ResponseAttributes &response,
                                 core::Millis now) {
  if (State != Phase::Waiting)
    return;
  Policy.onHead(Current->Ticket, response, now);
  if (!isSuccess(head.Status))
    Rejection = response.NotRun;
  MayHaveRun = MayHaveRun || !Rejection;
  if (isSuccess(head.Status)) {
    const std::string_view flaw = flawOf(head, response);
    if (flaw.empty())
      onSuccess(head, response, now);
    else
      breakAttempt(std::string(flaw), now);
    return;
  }
  Head = head;
  Body.clear();
  State = Phase::Buffering;
}

// Returns why a success is no answer, or an empty text.
std::string_view
RequestStateMachine::flawOf(const http1::ResponseHead &head,
                            const ResponseAttributes &response) const {
  if (!response.Authentic)
    return "the response carries no valid signature";
  if (response.NotRun)
    return "a success states that it did not run";
  if (!continuesStream(head))
    return "the response does not continue the stream";
  if (catalogue::isStream(Request.Route->Kind) && !isStreamHead(head))
    return "the response is no stream";
  return response.Flaw;
}

// Returns false for a successful response to the resumption of a stream that is
// no stream of the same type.
bool RequestStateMachine::continuesStream(
    const http1::ResponseHead &head) const {
  return !ResponseStarted ||
         (head.Status == StreamHead.Status &&
          head.Fields.find(ContentType) == StreamHead.Fields.find(ContentType));
}

void RequestStateMachine::onSuccess(const http1::ResponseHead &head,
                                    const ResponseAttributes &response,
                                    core::Millis now) {
  if (!catalogue::isStream(Request.Route->Kind)) {
    Head = head;
    Body.clear();
    State = Phase::Buffering;
    return;
  }
  if (!ResponseStarted && escalate(response, now))
    return;
  State = Phase::Streaming;
  HasBody = head.Body != http1::Framing::None;
  EndsWithConnection = head.Body == http1::Framing::UntilClose;
  Events.clear();
  PaddingBytes = 0;
  TimeoutAt.reset();
  if (catalogue::isRetryable(Request.Route->Kind))
    startProgress(now);
  if (ResponseStarted)
    return;
  ResponseStarted = true;
  StreamHead = head;
  Confidence = response.Confidence;
  // The length is unknown in advance, because the stream may resume on another
  // runner.
  http1::ResponseHead streamed = head;
  streamed.Fields = http1::endToEnd(head.Fields);
  streamed.Body = http1::Framing::Chunked;
  Actions.begin(streamed);
}

bool RequestStateMachine::escalate(const ResponseAttributes &response,
                                   core::Millis now) {
  if (!Tier || !response.Confidence ||
      AttemptsMade >= Request.Route->MaxAttempts)
    return false;
  const EscalationDecision decision =
      Policy.decideEscalation(Request, *Tier, *response.Confidence, now);
  const LowConfidenceAnswer answer{*response.Confidence, decision.Larger};
  if (decision.Tier == *Tier) {
    if (decision.LowConfidence)
      Actions.onLowConfidenceAccepted(answer, "no time for the larger model");
    return false;
  }
  const PlacementResult result =
      Policy.place(Request, decision.Tier, {}, AttemptKind::Escalate, now);
  if (const auto *none = std::get_if<NoPlacement>(&result)) {
    Actions.onLowConfidenceAccepted(answer, none->Reason);
    return false;
  }
  Actions.cancelAttempt();
  endAttempt(AttemptOutcome::Cancelled, now);
  Excluded.clear();
  Tier = decision.Tier;
  Actions.onEscalation(answer);
  onPlacement(std::get<Placement>(result), now);
  return true;
}

void RequestStateMachine::onData(std::string_view bytes, core::Millis now) {
  if (State == Phase::Buffering) {
    Body += bytes;
    const bool isError = Rejection || ResponseStarted || isFailure(Head.Status);
    if (Body.size() <= (isError ? MaxErrorBytes : MaxBufferedBytes))
      return;
    if (isError) {
      onErrorResponseTooLong(now);
      return;
    }
    // The response exceeds the buffer: it is forwarded from here on, so that
    // the request can't be retried any more.
    State = Phase::Streaming;
    ResponseStarted = true;
    TimeoutAt.reset();
    http1::ResponseHead streamed = Head;
    streamed.Fields = http1::endToEnd(Head.Fields);
    Actions.begin(streamed);
    Actions.data(Body);
    Body.clear();
    return;
  }
  if (State != Phase::Streaming)
    return;
  if (!catalogue::isStream(Request.Route->Kind)) {
    Actions.data(bytes);
    return;
  }
  forwardEvents(bytes, now);
}

// What the head says holds, whatever the body: a rejected request did not run.
void RequestStateMachine::onErrorResponseTooLong(core::Millis now) {
  Actions.cancelAttempt();
  if (Rejection)
    onRejected(*Rejection, now);
  else
    failAttempt(AttemptOutcome::Broken, "the error response does not end", now);
}

std::size_t RequestStateMachine::heldBytes() const {
  return Body.size() + FailedBody.size() + Events.partialBytes();
}

// What an unsafe request has got is not dropped: it can't be had again.
std::size_t RequestStateMachine::droppableBytes() const {
  if (!catalogue::isRetryable(Request.Route->Kind))
    return 0;
  if (State == Phase::Streaming)
    return Events.partialBytes();
  return State == Phase::Buffering && isFailure(Head.Status) ? Body.size() : 0;
}

void RequestStateMachine::onBuffersExceeded(core::Millis now) {
  if (droppableBytes() == 0)
    return;
  Events.clear();
  Body.clear();
  Actions.cancelAttempt();
  failAttempt(AttemptOutcome::Broken, "the buffers are full", now);
}

void RequestStateMachine::breakAttempt(const std::string &reason,
                                       core::Millis now) {
  Actions.onBrokenAnswer(reason);
  Actions.cancelAttempt();
  failAttempt(AttemptOutcome::Broken, reason, now);
}

void RequestStateMachine::onEnd(core::Millis now) {
  if (State == Phase::Buffering)
    endBuffered(now);
  else if (State == Phase::Streaming)
    endStream(now);
}

// The statement is the proof that the request may go on at another runner.
void RequestStateMachine::onRejected(const NotRunStatement & /*statement*/,
                                     core::Millis now) {
  const int status = Head.Status;
  // Another runner listens on the address now: the intended one never received
  // the request.
  if (status == MisdirectedRequest) {
    --AttemptsMade;
    ++UnsentAttempts;
    HasArrived = true;
  }
  endAttempt(status == MisdirectedRequest ? AttemptOutcome::Unreachable
                                          : AttemptOutcome::Rejected,
             now);
  // The request itself is invalid, so that a retry can't help.
  if (status == 400 && !ResponseStarted) {
    finish();
    Actions.replyWithError(
        {400, "the runner rejected the request as malformed", std::nullopt});
    return;
  }
  retryOrGiveUp("the runner rejected the request with status " +
                    std::to_string(status),
                now);
}

void RequestStateMachine::endBuffered(core::Millis now) {
  if (Rejection) {
    onRejected(*Rejection, now);
    return;
  }
  // The runner didn't state that the request has not run, so that its status
  // would promise more than is known.
  if (promisesNotRun(Head.Status) &&
      !catalogue::isRetryable(Request.Route->Kind)) {
    failAttempt(AttemptOutcome::ErrorResponse,
                "the runner refused with status " +
                    std::to_string(Head.Status) + " without a statement",
                now);
    return;
  }
  // Any response but a success fails to continue a stream.
  if (ResponseStarted || isFailure(Head.Status) ||
      promisesNotRun(Head.Status)) {
    onRunnerFailed(now);
    return;
  }
  endAttempt(AttemptOutcome::Served, now);
  finish();
  Actions.respond(Head, Body);
}

void RequestStateMachine::onRunnerFailed(core::Millis now) {
  endAttempt(AttemptOutcome::ErrorResponse, now);
  FailedHead = Head;
  FailedBody = Body;
  retryOrGiveUp("the runner failed with status " + std::to_string(Head.Status),
                now);
}

} // namespace cowslipridge::gateway
