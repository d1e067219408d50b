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

/// The time in which a member is certain that the fleet knows of it.
struct Registration {
  core::Millis Since;
  core::Millis Until; ///< unless it is renewed
  friend auto operator<=>(const Registration &, const Registration &) = default;
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
/// The others divide the fixed retries by the members that are registered, and
/// know nothing of what a process retried before its end. A member therefore
/// has a part of them only while its registration is certain, and not before a
/// window has passed since; its part grows only one window after other members
/// were removed.
class RetryWindow {
public:
  /// Without a registration, the member is the only one.
  explicit RetryWindow(RetryWindowSettings settings,
                       std::optional<Registration> registration = std::nullopt);

  void setMembers(std::size_t members);
  void setRegistration(const Registration &registration) {
    Registered = registration;
  }
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
  std::optional<Registration> Registered;
  std::size_t Members = 1;
  std::optional<Removal> Removed;
  std::deque<core::Millis> FirstAttempts;
  std::deque<core::Millis> Retries;
};

} // namespace cowslipridge::limits
