#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/limits/RetryBudget.hpp"

#include <deque>

namespace cowslipridge::limits {

/// State of a call that has not been answered yet.
struct PendingCall {
  bool Idempotent = false;
  bool FirstTokenSeen = false;
  bool AlreadyHedged = false;
  core::Millis Elapsed;   ///< since it was sent
  core::Millis Remaining; ///< until its deadline
};

/// Decides when a call is hedged, that is, sent a second time to another runner
/// of the same version. RunnerChooser selects the second runner with the first
/// one excluded, so a hedged call never runs on a version that is not
/// permitted.
class HedgePolicy {
public:
  /// Records the time to first token of one answer.
  void observe(core::Millis timeToFirstToken);
  /// Returns how long a call may wait for its first token before it is hedged.
  [[nodiscard]] core::Millis delay() const;
  /// Returns true if the call is to be hedged now; consumes one retry of
  /// `budget` in that case.
  [[nodiscard]] bool shouldHedge(const PendingCall &call,
                                 RetryBudget &budget) const;

private:
  std::deque<core::Millis> Recent;
};

} // namespace cowslipridge::limits
