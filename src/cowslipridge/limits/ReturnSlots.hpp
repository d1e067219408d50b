#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <array>
#include <cstddef>

namespace cowslipridge::limits {

/// A caller that is rejected because of scarcity.
struct RejectedCaller {
  int Rank = 0;          ///< 0 is the most urgent
  core::Millis TimeLeft; ///< until its deadline
  core::Millis Earliest; ///< from now; a runner can't answer it before
};

/// Computes the Retry-After of callers that are rejected under scarcity. Each
/// one gets the next free place in the capacity that is forecast for this
/// gateway, behind those given to callers that are as urgent or more urgent.
class ReturnSlots {
public:
  static constexpr core::Millis MinRetryAfter{150};

  /// Sets the position of this gateway among all, in [0, 1): gateways that
  /// reject at the same time spread their callers by it.
  void setPosition(double position) { Position = position; }
  /// Records that a request of this gateway got its first token.
  void onFirstToken(core::Millis now);
  /// Returns the Retry-After: at least MinRetryAfter, and otherwise at most a
  /// third of the time that the caller has left, as it waits no longer.
  core::Millis next(const RejectedCaller &caller, core::Millis now);

private:
  static constexpr std::size_t Ranks = 10;

  /// Returns the time between two first tokens of this gateway's requests.
  [[nodiscard]] double intervalMillis(core::Millis now) const;

  std::array<double, Ranks> NextFree{}; ///< by rank; monotonic milliseconds
  double RecentTokens = 0;              ///< decayed number of first tokens
  core::Millis CountedAt;
  double Position = 0;
};

} // namespace cowslipridge::limits
