#include "cowslipridge/gateway/StreamProgress.hpp"

#include "cowslipridge/gateway/Placement.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Idle limits in a window. With fewer, a mean pause that is a quarter too long
/// could not be told from one at the idle limit.
constexpr std::int64_t IdleLimitsPerWindow = 8;
/// Shortest pause that is judged, so that the arrivals to be kept are few.
constexpr core::Millis MinJudgedGap{250};

// A pace that is up to a quarter slower than the target is not a stall: delays
// on the way add to the pauses of a stream that keeps to its target.
std::size_t fewestEvents(core::Millis window, core::Millis targetGap) {
  if (targetGap <= core::Millis())
    return 0;
  const core::Millis gap = std::max(targetGap, MinJudgedGap);
  return static_cast<std::size_t>(window.count() /
                                  (gap.count() + gap.count() / 4));
}

} // namespace

StreamProgress::StreamProgress(core::Millis targetGap, core::Millis now)
    : IdleLimit(std::max(MinStreamIdleTimeout, targetGap)),
      Window(IdleLimit * IdleLimitsPerWindow),
      FewestEvents(fewestEvents(Window, targetGap)), StartedAt(now),
      LastAt(now) {}

void StreamProgress::onEvents(std::size_t events, core::Millis now) {
  if (events == 0)
    return;
  LastAt = now;
  Newest.push_back({now, events});
  NewestEvents += events;
  while (!Newest.empty() &&
         NewestEvents - Newest.front().Events >= FewestEvents) {
    NewestEvents -= Newest.front().Events;
    Newest.pop_front();
  }
}

core::Millis StreamProgress::stallsAt() const {
  const core::Millis silentAt = LastAt + IdleLimit;
  if (FewestEvents == 0)
    return silentAt;
  core::Millis slowAt = StartedAt + Window;
  if (NewestEvents >= FewestEvents)
    slowAt = std::max(slowAt, Newest.front().At + Window);
  return std::min(silentAt, slowAt);
}

} // namespace cowslipridge::gateway
