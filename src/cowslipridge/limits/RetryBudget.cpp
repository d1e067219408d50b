#include "cowslipridge/limits/RetryBudget.hpp"

#include <algorithm>

namespace cowslipridge::limits {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : Settings(settings), Saved(settings.MaxSaved) {}

void RetryBudget::onFirstAttempt() {
  Saved = std::min(Settings.MaxSaved, Saved + Settings.RetriesPerRequest);
}

bool RetryBudget::tryAcquire() {
  if (Saved < 1)
    return false;
  Saved -= 1;
  return true;
}

} // namespace cowslipridge::limits
