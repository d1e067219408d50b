#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>
#include <deque>

namespace cowslipridge::gateway {

/// Judges whether the stream of one attempt goes on, by its pace over a sliding
/// window. Only complete events that the caller has not received before count.
///
/// A stream is stalled when no event has arrived for the idle limit, or when
/// the mean pause over the window exceeds the route's longest pause by a
/// quarter. So an event now and then does not keep a stalled stream alive. A
/// stream whose pauses are all within the route's target never stalls.
class StreamProgress {
public:
  /// Starts with the head of the response. `targetGap` is the longest pause
  /// between events that the route aims at; 0 if it states none.
  StreamProgress(core::Millis targetGap, core::Millis now);

  void onEvents(std::size_t events, core::Millis now);
  /// Returns when the stream counts as stalled if no more events arrive.
  [[nodiscard]] core::Millis stallsAt() const;

private:
  struct Arrival {
    core::Millis At;
    std::size_t Events = 0;
  };

  core::Millis IdleLimit;
  core::Millis Window;
  std::size_t FewestEvents; ///< of a window; 0: the pace is not judged
  core::Millis StartedAt;
  core::Millis LastAt;
  std::deque<Arrival> Newest; ///< with FewestEvents events, if there were
  std::size_t NewestEvents = 0;
};

} // namespace cowslipridge::gateway
