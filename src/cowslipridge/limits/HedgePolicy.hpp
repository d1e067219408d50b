#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/limits/RetryBudget.hpp"

#include <deque>

namespace cowslipridge::limits {

/// What is known of a call that has not answered yet.
struct PendingCall {
  bool Idempotent = false;
  bool FirstTokenSeen = false;
  bool AlreadyHedged = false;
  core::Millis Elapsed;   ///< since it was sent
  core::Millis Remaining; ///< until its deadline
};

/// Decides when a call is sent a second time, to another runner of the same
/// version. The second runner comes from RunnerChooser with the first one
/// excluded, so a hedge never leaves the permitted versions.
class HedgePolicy {
public:
  /// The time to first token of one answer.
  void observe(core::Millis timeToFirstToken);
  /// How long a call may be without its first token before it is hedged.
  [[nodiscard]] core::Millis delay() const;
  /// True when the call is to be hedged now; takes one retry from `budget`.
  [[nodiscard]] bool shouldHedge(const PendingCall &call,
                                 RetryBudget &budget) const;

private:
  std::deque<core::Millis> Recent;
};

} // namespace cowslipridge::limits
