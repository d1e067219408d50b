#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace cowslipridge::limits {

/// Retries of one service that all members of a fleet together may make within
/// a sliding window.
struct RetryWindowSettings {
  double RetriesPerRequest = 0.1; ///< retries for each first attempt
  double FixedRetries = 10;       ///< further retries of the fleet
  core::Millis Window{10'000};
};

/// What a member's budget results from, for logs and metrics.
struct RetryWindowState {
  std::size_t FirstAttempts = 0; ///< in the window
  std::size_t Retries = 0;       ///< in the window
  /// Members that share the fixed retries; 0 if this one has no part of them.
  std::size_t Members = 0;
  friend bool operator==(const RetryWindowState &,
                         const RetryWindowState &) = default;
};

/// One member's part of the retry budget of a fleet. Members need no
/// coordination: each member may retry the given ratio of its own requests and
/// has an even part of the fixed retries.
///
/// What a process retried is not known after its end, nor to others when it is
/// out of their sight. A member therefore has no part of the fixed retries for
/// the first window of its life, and its part grows only one window after other
/// members were removed.
class RetryWindow {
public:
  /// `startedAt` is the start of the process, if an earlier one may have
  /// retried on the same budget.
  explicit RetryWindow(RetryWindowSettings settings,
                       std::optional<core::Millis> startedAt = std::nullopt);

  void setMembers(std::size_t members);
  void onFirstAttempt(core::Millis now);
  /// Consumes one retry; returns false if the budget is used up.
  [[nodiscard]] bool tryAcquire(core::Millis now);

  /// Returns how many retries are left in the window.
  [[nodiscard]] double remaining(core::Millis now);
  /// Returns what the budget results from.
  [[nodiscard]] RetryWindowState state(core::Millis now);

private:
  /// A smaller number of members, which applies one window later.
  struct Removal {
    std::size_t Members = 0;
    std::optional<core::Millis> At; ///< unset until the next call with a time
  };

  void expire(core::Millis now);
  void applyRemoval(core::Millis now);
  /// Returns this member's part of the fixed retries.
  [[nodiscard]] double fixedPart(core::Millis now) const;

  RetryWindowSettings Settings;
  std::optional<core::Millis> StartedAt;
  std::size_t Members = 1;
  std::optional<Removal> Removed;
  std::deque<core::Millis> FirstAttempts;
  std::deque<core::Millis> Retries;
};

} // namespace cowslipridge::limits
