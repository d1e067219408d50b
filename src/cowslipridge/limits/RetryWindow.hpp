#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>
#include <deque>

namespace cowslipridge::limits {

/// Retries of one service that all members of a fleet together may make within
/// a sliding window.
struct RetryWindowSettings {
  double RetriesPerRequest = 0.1; ///< retries for each first attempt
  double FixedRetries = 10;       ///< further retries of the fleet
  core::Millis Window{10'000};
};

/// One member's part of the retry budget of a fleet. Members need no
/// coordination: each member may retry the given ratio of its own requests and
/// has an even part of the fixed retries.
class RetryWindow {
public:
  explicit RetryWindow(RetryWindowSettings settings);

  void setMembers(std::size_t members);
  void onFirstAttempt(core::Millis now);
  /// Consumes one retry; returns false if the budget is used up.
  [[nodiscard]] bool tryAcquire(core::Millis now);

  /// Returns how many retries are left in the window.
  [[nodiscard]] double remaining(core::Millis now);

private:
  void expire(core::Millis now);

  RetryWindowSettings Settings;
  std::size_t Members = 1;
  std::deque<core::Millis> FirstAttempts;
  std::deque<core::Millis> Retries;
};

} // namespace cowslipridge::limits
