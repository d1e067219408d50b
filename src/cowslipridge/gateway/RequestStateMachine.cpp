#include "cowslipridge/gateway/RequestStateMachine.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// How many attempts may reach no runner, in addition to the attempts that the
/// route allows.
constexpr unsigned MaxUnsentAttempts = 3;
/// The gateway responds this much before the deadline, so that the response
/// reaches the caller in time.
constexpr core::Millis ResponseMargin{10};

} // namespace

RequestStateMachine::RequestStateMachine(RequestContext request,
                                         PlacementPolicy &policy,
                                         RequestActions &actions)
    : Request(std::move(request)), Policy(policy), Actions(actions),
      AttemptsMade(Request.Earlier.Made),
      HasArrived(Request.Earlier.HasArrived),
      MayHaveRun(Request.Earlier.MayHaveRun),
      LastEventId(Request.Caller.LastEventId) {}

EarlierAttempts RequestStateMachine::attempts() const {
  return {HasArrived || AttemptsMade > 0, MayHaveRun,
          MayHaveRun ? AttemptsMade : 0};
}

void RequestStateMachine::start(core::Millis now) {
  if (HasArrived && !canRetry()) {
    giveUp("earlier requests with this id have used its attempts up",
           MinRetryAfter);
    return;
  }
  Tier = Policy.firstTier(Request, now);
  startNextAttempt("first", now);
}

core::Millis RequestStateMachine::remaining(core::Millis now) const {
  return Request.Deadline - now;
}

bool RequestStateMachine::canRetry() const {
  return AttemptsMade < Request.Route->MaxAttempts &&
         UnsentAttempts < MaxUnsentAttempts &&
         (!MayHaveRun || catalogue::isRetryable(Request.Route->Kind));
}

void RequestStateMachine::startNextAttempt(const std::string &reason,
                                           core::Millis now) {
  if (remaining(now) < MinUsefulTime) {
    giveUp(reason + ", too close to the deadline", MinRetryAfter);
    return;
  }
  const bool isRetry = AttemptsMade > 0 || HasArrived;
  const bool isFirst = !isRetry && UnsentAttempts == 0;
  const AttemptKind kind = isFirst   ? AttemptKind::First
                           : isRetry ? AttemptKind::Retry
                                     : AttemptKind::Failover;
  const PlacementResult result =
      Policy.place(Request, Tier, Excluded, kind, now);
  std::visit(
      core::Overloaded{[&](const Placement &it) { onPlacement(it, now); },
                       [&](const NoPlacement &it) {
                         giveUp(reason + ", " + it.Reason, it.RetryAfter);
                       }},
      result);
}

void RequestStateMachine::onPlacement(const Placement &placement,
                                      core::Millis now) {
  Current = placement;
  State = Phase::Waiting;
  Rejection.reset();
  TimeoutAt.reset();
  Progress.reset();
  // A request that may not be retried has nothing to gain from a timeout.
  if (catalogue::isRetryable(Request.Route->Kind))
    TimeoutAt = now + placement.FirstByteTimeout;
  ++AttemptsMade;
  IsResumed = ResponseStarted;
  Actions.startAttempt(placement, remaining(now), LastEventId);
}

void RequestStateMachine::retryOrGiveUp(const std::string &reason,
                                        core::Millis now) {
  if (!canRetry()) {
    giveUp(reason, Policy.retryAfter(Request, now));
    return;
  }
  Actions.onRetry(LastOutcome, reason);
  startNextAttempt(reason, now);
}

void RequestStateMachine::giveUp(const std::string &reason,
                                 core::Millis retryAfter) {
  finish();
  if (ResponseStarted)
    endStartedResponse(reason);
  else if (FailedHead && !promisesNotRun(FailedHead->Status))
    Actions.respond(*FailedHead, FailedBody);
  else if (MayHaveRun)
    Actions.replyWithError({502, reason, std::nullopt});
  else
    Actions.replyWithError({503, reason, retryAfter});
}

void RequestStateMachine::onFailure(http1::CallFailure failure,
                                    core::Millis now) {
  if (State == Phase::Done || !Current)
    return;
  const bool notSent = http1::isUnsent(failure);
  if (!notSent && Rejection) {
    onRejected(*Rejection, now);
    return;
  }
  if (!notSent) {
    MayHaveRun = true;
    failAttempt(AttemptOutcome::Broken, std::string(toString(failure)), now);
    return;
  }
  --AttemptsMade;
  ++UnsentAttempts;
  // The other failures to send say nothing of the runner.
  endAttempt(failure == http1::CallFailure::NotConnected
                 ? AttemptOutcome::Unreachable
                 : AttemptOutcome::Cancelled,
             now);
  retryOrGiveUp(std::string(toString(failure)), now);
}

void RequestStateMachine::failAttempt(AttemptOutcome outcome,
                                      const std::string &reason,
                                      core::Millis now) {
  endAttempt(outcome, now);
  // A plain response that has been started can't be replaced.
  if (ResponseStarted && !catalogue::isStream(Request.Route->Kind)) {
    finish();
    Actions.abort(reason);
    return;
  }
  retryOrGiveUp(reason, now);
}

void RequestStateMachine::onCallerDisconnected(core::Millis now) {
  if (State == Phase::Done)
    return;
  stopAttempt(AttemptOutcome::Cancelled, now);
  finish();
}

void RequestStateMachine::onPolicyChanged(core::Millis now) {
  if (State != Phase::Waiting || !Current)
    return;
  const auto refused = Policy.refusal(Request, now);
  if (!refused)
    return;
  stopAttempt(AttemptOutcome::Cancelled, now);
  giveUp(refused->Reason, refused->RetryAfter);
}

core::Millis RequestStateMachine::nextTimer() const {
  const core::Millis last = Request.Deadline - ResponseMargin;
  return TimeoutAt ? std::min(*TimeoutAt, last) : last;
}

void RequestStateMachine::onTimer(core::Millis now) {
  if (State == Phase::Done || now < nextTimer())
    return;
  if (now >= Request.Deadline - ResponseMargin)
    onDeadline(now);
  else
    onAttemptTimeout(now);
}

void RequestStateMachine::onDeadline(core::Millis now) {
  // A runner that never got the request is not late.
  const bool isLate = !ResponseStarted && Actions.mayHaveSent();
  stopAttempt(isLate ? AttemptOutcome::TimedOut : AttemptOutcome::Cancelled,
              now);
  endEarly(504, "deadline", now);
}

void RequestStateMachine::onProcessEnding(core::Millis now) {
  if (State == Phase::Done)
    return;
  stopAttempt(AttemptOutcome::Cancelled, now);
  endEarly(502, "the process ends", now);
}

void RequestStateMachine::endEarly(int status, const std::string &reason,
                                   core::Millis now) {
  finish();
  if (ResponseStarted)
    endStartedResponse(reason);
  else if (MayHaveRun)
    Actions.replyWithError({status, reason, std::nullopt});
  else
    Actions.replyWithError({503, reason, Policy.retryAfter(Request, now)});
}

void RequestStateMachine::endStartedResponse(const std::string &reason) {
  if (EndUnconfirmed)
    Actions.end();
  else
    Actions.abort(reason);
}

// A request that still waits for its connection has reached no runner.
void RequestStateMachine::stopAttempt(AttemptOutcome outcome,
                                      core::Millis now) {
  if (Current && !Rejection && Actions.mayHaveSent())
    MayHaveRun = true;
  Actions.cancelAttempt();
  endAttempt(outcome, now);
}

// A timeout only moves the request to another runner; without one, the request
// waits on.
void RequestStateMachine::onAttemptTimeout(core::Millis now) {
  TimeoutAt.reset();
  Progress.reset();
  if (AttemptsMade >= Request.Route->MaxAttempts)
    return;
  auto excluded = Excluded;
  excluded.push_back(Current->Runner);
  const AttemptKind kind = State == Phase::Waiting
                               ? AttemptKind::RetryUnanswered
                               : AttemptKind::Retry;
  const PlacementResult result =
      Policy.place(Request, Tier, excluded, kind, now);
  if (const auto *none = std::get_if<NoPlacement>(&result)) {
    Actions.onKeepWaiting(none->Reason);
    // Another runner may have room when the stream stalls again.
    if (State == Phase::Streaming)
      startProgress(now);
    return;
  }
  MayHaveRun = true;
  Actions.cancelAttempt();
  endAttempt(AttemptOutcome::TimedOut, now);
  Actions.onRetry(LastOutcome, "the runner timed out");
  onPlacement(std::get<Placement>(result), now);
}

void RequestStateMachine::endAttempt(AttemptOutcome outcome, core::Millis now) {
  if (!Current)
    return;
  Policy.onEnded(Current->Ticket, outcome, now);
  LastOutcome = outcome;
  if (outcome != AttemptOutcome::Served)
    Excluded.push_back(Current->Runner);
  Current.reset();
}

void RequestStateMachine::finish() {
  State = Phase::Done;
  TimeoutAt.reset();
}

} // namespace cowslipridge::gateway
