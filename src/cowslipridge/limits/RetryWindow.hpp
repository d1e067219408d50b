#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

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

/// An attempt that repeats an earlier one.
struct Retry {
  std::uint64_t Attempt = 0; ///< identifies it
  /// The runner of the earlier attempt, if that was given up without a response
  /// and may still arrive there.
  std::optional<core::RunnerId> Unanswered;
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
///
/// What counts for a runner is when requests arrive, not when they were sent. A
/// runner that stands still receives all of them at once when it goes on.
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
  /// Consumes one retry; returns false if the budget is used up. The retry
  /// counts until it is settled, and for a window from then on.
  [[nodiscard]] bool tryAcquire(const Retry &retry, core::Millis now);
  /// Handles that the attempt of a retry has reached its runner, or never will.
  void onSettled(std::uint64_t attempt, core::Millis now);
  /// Handles that the attempt of a retry ended without a response: it may still
  /// arrive at its runner.
  void onUnanswered(std::uint64_t attempt, const core::RunnerId &runner);
  /// Handles a response of a runner to what was sent to it at `sentAt`: it has
  /// received what was sent to it before.
  void onResponse(const core::RunnerId &runner, core::Millis sentAt,
                  core::Millis now);

  /// Returns how many retries are left: those that no window which holds this
  /// time forbids. Less than one: none, by whatever difference.
  [[nodiscard]] double remaining(core::Millis now);
  /// Returns whether half of the budget is used, but for less than a retry.
  [[nodiscard]] bool isHalfUsed(core::Millis now);
  /// Returns what the budget results from.
  [[nodiscard]] RetryWindowState state(core::Millis now);

private:
  /// A smaller number of members, which applies one window later.
  struct Removal {
    std::size_t Members = 0;
    std::optional<core::Millis> At; ///< unset until the next call with a time
  };

  /// A retry of which an attempt may still arrive.
  struct Charge {
    core::Millis SentAt;
    bool IsAttemptPending = true; ///< the retry itself may still arrive
    /// Runners at which an attempt may still arrive.
    std::vector<core::RunnerId> PendingAt;

    [[nodiscard]] bool hasArrived() const {
      return !IsAttemptPending && PendingAt.empty();
    }
  };

  [[nodiscard]] std::size_t retries() const {
    return Pending.size() + Arrivals.size();
  }
  void expire(core::Millis now);
  void applyRemoval(core::Millis now);
  /// Returns how many retries are left in each window that begins between
  /// `first` and `last`.
  [[nodiscard]] double remainingBetween(core::Millis first, core::Millis last,
                                        core::Millis now) const;
  [[nodiscard]] std::size_t firstAttempts(core::Millis begin,
                                          core::Millis end) const;
  /// Returns this member's part of the fixed retries.
  [[nodiscard]] double fixedPart(core::Millis now) const;

  RetryWindowSettings Settings;
  std::optional<Registration> Registered;
  std::size_t Members = 1;
  std::optional<Removal> Removed;
  std::deque<core::Millis> FirstAttempts;
  /// By attempt, in the order in which they were sent.
  std::map<std::uint64_t, Charge> Pending;
  std::deque<core::Millis> Arrivals; ///< latest times of the other retries
};

} // namespace cowslipridge::limits
