#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>
#include <deque>

namespace cowslipridge::limits {

/// What a fleet may spend on repeats of one service within a sliding window.
struct RetryWindowSettings {
  double PerRequest = 0.1; ///< repeats for each first sending
  double Fixed = 10;       ///< further ones, over the whole fleet
  core::Millis Window{10'000};
};

/// One member's part of a fleet's budget for repeats. Members need not talk:
/// each keeps to the ratio of its own requests and an even part of the rest.
class RetryWindow {
public:
  explicit RetryWindow(RetryWindowSettings settings);

  void setMembers(std::size_t members);
  void onFirstAttempt(core::Millis now);
  /// Counts one repeat; false when the budget does not bear it.
  [[nodiscard]] bool tryAcquire(core::Millis now);

  /// Repeats that the window still bears.
  [[nodiscard]] double remaining(core::Millis now);

private:
  void expire(core::Millis now);

  RetryWindowSettings Settings;
  std::size_t Members = 1;
  std::deque<core::Millis> Firsts;
  std::deque<core::Millis> Repeats;
};

} // namespace cowslipridge::limits
