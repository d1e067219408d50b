#pragma once

#include "cowslipridge/core/Clock.hpp"

namespace cowslipridge::limits {

/// Rate and size of the token bucket of a RetryBudget.
struct RetryBudgetSettings {
  double RetriesPerRequest = 0.1; ///< added by each first attempt
  double MaxSaved = 20;           ///< bucket size, in retries
};

/// Token bucket that is filled by first attempts and drained by retries and
/// hedged attempts, so that these stay a fixed share of the traffic.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings settings);
  void onFirstAttempt();
  /// Consumes one retry; returns false if the budget is used up.
  [[nodiscard]] bool tryAcquire();

private:
  RetryBudgetSettings Settings;
  double Saved;
};

} // namespace cowslipridge::limits
