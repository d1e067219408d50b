#pragma once

#include "cowslipridge/core/Clock.hpp"

namespace cowslipridge::limits {

struct RetryBudgetSettings {
  double RetriesPerRequest = 0.1; ///< earned by each first attempt
  double MaxSaved = 20;           ///< retries that can be saved up
};

/// Token bucket that first attempts fill and that retries and hedges drain, so
/// that retries stay a fixed share of the traffic.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings settings);
  void onFirstAttempt();
  /// Takes one retry from the budget; false when it is spent.
  [[nodiscard]] bool tryAcquire();

private:
  RetryBudgetSettings Settings;
  double Saved;
};

} // namespace cowslipridge::limits
