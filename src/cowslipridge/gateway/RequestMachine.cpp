#include "cowslipridge/gateway/RequestMachine.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Runners without a connection that one request tries, besides those that it
/// is sent to.
constexpr unsigned MaxUnreachable = 3;
/// Time that a runner needs at least for its answer to be of use.
constexpr core::Millis LeastUsefulTime{20};
/// Larger answers of plain services are passed on as they come.
constexpr std::size_t MaxGatheredBytes = 256UL * 1024;
/// Before the caller's own time is over, for the answer to reach it.
constexpr core::Millis AnswerMargin{10};

constexpr int MisdirectedRequest = 421;

bool isFailure(int status) { return status >= 500; }
bool isSuccess(int status) { return status >= 200 && status < 300; }

} // namespace

RequestMachine::RequestMachine(RequestFacts facts, Placer &placer,
                               RequestActions &actions)
    : Facts(std::move(facts)), Decisions(placer), Actions(actions),
      LastEvent(Facts.Caller.LastEvent) {}

void RequestMachine::start(core::Millis now) {
  Tier = Decisions.firstTier(Facts, now);
  sendNext("first", now);
}

core::Millis RequestMachine::remaining(core::Millis now) const {
  return Facts.Deadline - now;
}

bool RequestMachine::mayResend() const {
  return Sent < Facts.Route->MaxAttempts && Unreachable < MaxUnreachable &&
         (!MayHaveRun || catalogue::mayRepeat(Facts.Route->Kind));
}

void RequestMachine::sendNext(const std::string &reason, core::Millis now) {
  if (remaining(now) < LeastUsefulTime) {
    giveUp(reason + ", no time left", EarliestReturn);
    return;
  }
  const bool isFirst = Sent == 0 && Unreachable == 0;
  const SendKind kind = isFirst    ? SendKind::First
                        : Sent > 0 ? SendKind::Repeat
                                   : SendKind::Another;
  const PlacementResult result =
      Decisions.place(Facts, Tier, Excluded, kind, now);
  std::visit(
      core::Overloaded{[&](const Placement &it) { onPlacement(it, now); },
                       [&](const NoPlacement &it) {
                         giveUp(reason + ", " + it.Reason, it.RetryAfter);
                       }},
      result);
}

void RequestMachine::onPlacement(const Placement &placement, core::Millis now) {
  Current = placement;
  State = Phase::Waiting;
  Rejected = false;
  SilentAt.reset();
  // Where nothing may be repeated, waiting on costs nothing.
  if (catalogue::mayRepeat(Facts.Route->Kind))
    SilentAt = now + placement.Patience;
  ++Sent;
  Actions.send(placement, remaining(now), LastEvent);
}

void RequestMachine::retryOrGiveUp(const std::string &reason,
                                   core::Millis now) {
  if (!mayResend()) {
    giveUp(reason, EarliestReturn);
    return;
  }
  Actions.retried(LastOutcome, reason);
  sendNext(reason, now);
}

void RequestMachine::giveUp(const std::string &reason,
                            core::Millis retryAfter) {
  if (AnswerBegun) {
    finish();
    Actions.abort(reason);
    return;
  }
  finish();
  if (FailedHead)
    Actions.pass(*FailedHead, FailedBody);
  else if (MayHaveRun)
    Actions.refuse({502, reason, std::nullopt});
  else
    Actions.refuse({503, reason, retryAfter});
}

void RequestMachine::onHead(const http1::ResponseHead &head,
                            const RunnerVerdict &verdict, core::Millis now) {
  if (State != Phase::Waiting)
    return;
  Decisions.onFirstByte(Current->Ticket, now);
  Rejected = verdict.NotRun && !isSuccess(head.Status);
  MayHaveRun = MayHaveRun || !Rejected;
  if (isSuccess(head.Status) && !verdict.Authentic) {
    Actions.cancelSend();
    broke(SendOutcome::Broken, "an unsigned answer", now);
    return;
  }
  if (isSuccess(head.Status)) {
    onSuccess(head, verdict, now);
    return;
  }
  Head = head;
  Body.clear();
  State = Phase::Gathering;
}

void RequestMachine::onSuccess(const http1::ResponseHead &head,
                               const RunnerVerdict &verdict, core::Millis now) {
  if (!catalogue::isStream(Facts.Route->Kind)) {
    Head = head;
    Body.clear();
    State = Phase::Gathering;
    return;
  }
  if (!AnswerBegun && escalate(verdict, now))
    return;
  State = Phase::Streaming;
  Events.clear();
  SilentAt.reset();
  if (catalogue::mayRepeat(Facts.Route->Kind))
    SilentAt = now + std::max(LeastStreamPatience, Facts.Route->TargetGap);
  if (AnswerBegun)
    return;
  AnswerBegun = true;
  Confidence = verdict.Confidence;
  // A stream that goes on elsewhere has no length known in advance.
  http1::ResponseHead streamed = head;
  streamed.Fields = http1::endToEnd(head.Fields);
  streamed.Body = http1::Framing::Chunked;
  Actions.begin(streamed);
}

bool RequestMachine::escalate(const RunnerVerdict &verdict, core::Millis now) {
  if (!Tier || !verdict.Confidence || Sent >= Facts.Route->MaxAttempts)
    return false;
  const TierChoice choice =
      Decisions.betterTier(Facts, *Tier, *verdict.Confidence, now);
  const DoubtedAnswer doubted{*verdict.Confidence, choice.Larger};
  if (choice.Tier == *Tier) {
    if (choice.Doubted)
      Actions.kept(doubted, "no time for the larger model");
    return false;
  }
  const PlacementResult result =
      Decisions.place(Facts, choice.Tier, {}, SendKind::Escalate, now);
  if (const auto *none = std::get_if<NoPlacement>(&result)) {
    Actions.kept(doubted, none->Reason);
    return false;
  }
  Actions.cancelSend();
  ended(SendOutcome::Dropped, now);
  Excluded.clear();
  Tier = choice.Tier;
  Actions.escalated(doubted);
  onPlacement(std::get<Placement>(result), now);
  return true;
}

void RequestMachine::onData(std::string_view bytes, core::Millis now) {
  if (State == Phase::Gathering) {
    Body += bytes;
    if (Body.size() <= MaxGatheredBytes || isFailure(Head.Status))
      return;
    // Too large to hold back: from here on it can't be repeated.
    State = Phase::Streaming;
    AnswerBegun = true;
    SilentAt.reset();
    http1::ResponseHead streamed = Head;
    streamed.Fields = http1::endToEnd(Head.Fields);
    Actions.begin(streamed);
    Actions.data(Body);
    Body.clear();
    return;
  }
  if (State != Phase::Streaming)
    return;
  if (!catalogue::isStream(Facts.Route->Kind)) {
    Actions.data(bytes);
    return;
  }
  if (SilentAt)
    SilentAt = now + std::max(LeastStreamPatience, Facts.Route->TargetGap);
  passEvents(bytes, now);
}

void RequestMachine::passEvents(std::string_view bytes, core::Millis now) {
  std::string whole;
  const std::vector<StreamEvent> events = Events.push(bytes);
  Decisions.onEvents(Current->Ticket, static_cast<unsigned>(events.size()),
                     now);
  for (const StreamEvent &it : events) {
    if (!passEvent(it))
      continue;
    whole += it.Bytes;
    ++EventsPassed;
  }
  if (!whole.empty())
    Actions.data(whole);
}

// Events that the caller has already are left out after a resumption.
bool RequestMachine::passEvent(const StreamEvent &event) {
  if (!event.Id)
    return true;
  if (LastEvent && *event.Id <= *LastEvent)
    return false;
  LastEvent = event.Id;
  return true;
}

void RequestMachine::onEnd(core::Millis now) {
  if (State == Phase::Gathering)
    endGathered(now);
  else if (State == Phase::Streaming)
    endStream(now);
}

void RequestMachine::endStream(core::Millis now) {
  const bool cut =
      catalogue::isStream(Facts.Route->Kind) && Events.hasPartial();
  if (cut) {
    broke(SendOutcome::Broken, "the stream ended within an event", now);
    return;
  }
  ended(SendOutcome::Served, now);
  finish();
  Actions.end();
}

void RequestMachine::onRejected(core::Millis now) {
  const int status = Head.Status;
  // The address belongs to another runner now: the one that was meant never got
  // it.
  if (status == MisdirectedRequest) {
    --Sent;
    ++Unreachable;
  }
  ended(status == MisdirectedRequest ? SendOutcome::Unreachable
                                     : SendOutcome::Rejected,
        now);
  // This one says that the request itself is at fault.
  if (status == 400) {
    finish();
    Actions.refuse({400, "the runner calls it malformed", std::nullopt});
    return;
  }
  retryOrGiveUp("the runner rejected it with " + std::to_string(status), now);
}

void RequestMachine::endGathered(core::Millis now) {
  if (Rejected) {
    onRejected(now);
    return;
  }
  if (isFailure(Head.Status)) {
    onRunnerFailed(now);
    return;
  }
  ended(SendOutcome::Served, now);
  finish();
  Actions.pass(Head, Body);
}

void RequestMachine::onRunnerFailed(core::Millis now) {
  ended(SendOutcome::FailedAnswer, now);
  FailedHead = Head;
  FailedBody = Body;
  retryOrGiveUp("the runner failed with " + std::to_string(Head.Status), now);
}

void RequestMachine::onFailure(http1::CallFailure failure, core::Millis now) {
  if (State == Phase::Done || !Current)
    return;
  const bool notSent = failure == http1::CallFailure::NotConnected ||
                       failure == http1::CallFailure::ConnectionLimitReached;
  if (!notSent && Rejected) {
    onRejected(now);
    return;
  }
  if (!notSent) {
    MayHaveRun = true;
    broke(SendOutcome::Broken, std::string(toString(failure)), now);
    return;
  }
  --Sent;
  ++Unreachable;
  ended(failure == http1::CallFailure::ConnectionLimitReached ? SendOutcome::Dropped
                                              : SendOutcome::Unreachable,
        now);
  retryOrGiveUp(std::string(toString(failure)), now);
}

void RequestMachine::broke(SendOutcome outcome, const std::string &reason,
                           core::Millis now) {
  ended(outcome, now);
  // A plain answer that was begun can't be taken back.
  if (AnswerBegun && !catalogue::isStream(Facts.Route->Kind)) {
    finish();
    Actions.abort(reason);
    return;
  }
  retryOrGiveUp(reason, now);
}

void RequestMachine::onCallerLeft(core::Millis now) {
  if (State == Phase::Done)
    return;
  Actions.cancelSend();
  ended(SendOutcome::Dropped, now);
  finish();
}

core::Millis RequestMachine::nextTimer() const {
  const core::Millis last = Facts.Deadline - AnswerMargin;
  return SilentAt ? std::min(*SilentAt, last) : last;
}

void RequestMachine::onTimer(core::Millis now) {
  if (State == Phase::Done || now < nextTimer())
    return;
  if (now >= Facts.Deadline - AnswerMargin)
    onDeadline(now);
  else
    leaveSilent(now);
}

void RequestMachine::onDeadline(core::Millis now) {
  MayHaveRun = MayHaveRun || (Current.has_value() && !Rejected);
  Actions.cancelSend();
  ended(AnswerBegun ? SendOutcome::Dropped : SendOutcome::Silent, now);
  finish();
  if (AnswerBegun)
    Actions.abort("deadline");
  else
    Actions.refuse({MayHaveRun ? 504 : 503, "deadline", std::nullopt});
}

// Silence is a reason to go on elsewhere, never to give up early.
void RequestMachine::leaveSilent(core::Millis now) {
  SilentAt.reset();
  if (Sent >= Facts.Route->MaxAttempts)
    return;
  auto excluded = Excluded;
  excluded.push_back(Current->Runner);
  const PlacementResult result =
      Decisions.place(Facts, Tier, excluded, SendKind::Repeat, now);
  if (const auto *none = std::get_if<NoPlacement>(&result)) {
    Actions.waits(none->Reason);
    return;
  }
  MayHaveRun = true;
  Actions.cancelSend();
  ended(SendOutcome::Silent, now);
  Actions.retried(LastOutcome, "the runner is silent");
  onPlacement(std::get<Placement>(result), now);
}

void RequestMachine::ended(SendOutcome outcome, core::Millis now) {
  if (!Current)
    return;
  Decisions.onEnded(Current->Ticket, outcome, now);
  LastOutcome = outcome;
  if (outcome != SendOutcome::Served)
    Excluded.push_back(Current->Runner);
  Current.reset();
}

void RequestMachine::finish() {
  State = Phase::Done;
  SilentAt.reset();
}

} // namespace cowslipridge::gateway
