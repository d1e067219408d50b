#include "cowslipridge/gateway/RequestStateMachine.hpp"

#include <algorithm>

// The events of streams: what is forwarded, and when a stream is broken.
namespace cowslipridge::gateway {

namespace {

/// A longer event of a stream counts as broken.
constexpr std::size_t MaxEventBytes = 64UL * 1024;
/// Bytes between two new events of a stream that are not part of one: comments,
/// empty lines and events that the caller has already.
constexpr std::size_t MaxPaddingBytes = 64UL * 1024;
constexpr std::uint64_t MaxEventsWithoutToken = 16;

unsigned countWithContent(const std::vector<StreamEvent> &events) {
  return static_cast<unsigned>(
      std::ranges::count_if(events, &StreamEvent::HasContent));
}

} // namespace

void RequestStateMachine::startProgress(core::Millis now) {
  Progress.emplace(Request.Route->TargetGap, now);
  TimeoutAt = Progress->stallsAt();
}

void RequestStateMachine::forwardEvents(std::string_view bytes,
                                        core::Millis now) {
  std::string complete;
  const std::size_t forwardedBefore = EventsForwarded;
  const std::vector<StreamEvent> events = Events.push(bytes);
  Policy.onEvents(Current->Ticket, countWithContent(events), now);
  bool isMissingEvents = false;
  for (const StreamEvent &it : events) {
    isMissingEvents = isAfterGap(it);
    if (isMissingEvents)
      break;
    if (acceptEvent(it))
      complete += it.Bytes;
  }
  if (!complete.empty())
    forward(complete, EventsForwarded - forwardedBefore, now);
  if (isMissingEvents)
    breakAttempt("the resumed stream leaves out events", now);
  else if (Events.partialBytes() > MaxEventBytes)
    breakAttempt("an event of the stream does not end", now);
  else if (PaddingBytes > MaxPaddingBytes)
    breakAttempt("the stream goes on without new events", now);
  else if (hasTooManyEvents())
    breakAttempt("the stream has more events than its request tokens", now);
}

// Returns whether the caller gets the event.
bool RequestStateMachine::acceptEvent(const StreamEvent &event) {
  const bool isNew = updateLastEventId(event);
  if (isNew && event.HasContent) {
    ++EventsForwarded;
    PaddingBytes = 0;
  } else {
    PaddingBytes += event.Bytes.size();
  }
  return isNew;
}

// An event holds one token at least, but for some that begin or end a stream.
bool RequestStateMachine::hasTooManyEvents() const {
  const std::uint64_t tokens = Request.Caller.MaxOutputTokens;
  return tokens != 0 && EventsForwarded > tokens + MaxEventsWithoutToken;
}

void RequestStateMachine::forward(const std::string &events, std::size_t count,
                                  core::Millis now) {
  EndUnconfirmed = false;
  // Only events show that the stream goes on, not any bytes.
  if (Progress && count != 0) {
    Progress->onEvents(count, now);
    TimeoutAt = Progress->stallsAt();
  }
  Actions.data(events);
}

// A stream may be resumed only at the event after the last one. Whether numbers
// are consecutive shows in the events so far.
bool RequestStateMachine::isAfterGap(const StreamEvent &event) {
  if (!event.Id || !LastEventId || *event.Id <= *LastEventId)
    return false;
  const bool isNext = *event.Id == *LastEventId + 1;
  if (IsResumed)
    return IdsConsecutive.value_or(false) && !isNext;
  IdsConsecutive = IdsConsecutive.value_or(true) && isNext;
  return false;
}

// Returns false for an event that the caller has received before the stream
// was resumed.
bool RequestStateMachine::updateLastEventId(const StreamEvent &event) {
  if (!event.Id)
    return true;
  if (LastEventId && *event.Id <= *LastEventId)
    return false;
  LastEventId = event.Id;
  return true;
}

void RequestStateMachine::endStream(core::Millis now) {
  const bool isStream = catalogue::isStream(Request.Route->Kind);
  if (isStream && Events.hasPartial()) {
    breakAttempt("the stream ended within an event", now);
    return;
  }
  // The rest of a stream that is resumed may be empty.
  if (isStream && HasBody && EventsForwarded == 0 && !LastEventId) {
    breakAttempt("the stream ended without an event", now);
    return;
  }
  if (isStream && EndsWithConnection && canRetry()) {
    confirmEnd(now);
    return;
  }
  endAttempt(AttemptOutcome::Served, now);
  finish();
  Actions.end();
}

// The end of a runner's process closes its connections in the same way as the
// end of a response without a length.
void RequestStateMachine::confirmEnd(core::Millis now) {
  EndUnconfirmed = true;
  endAttempt(AttemptOutcome::Cancelled, now);
  retryOrGiveUp("the stream ended with its connection", now);
}

} // namespace cowslipridge::gateway
