#include "cowslipridge/platform/StoreAvailability.hpp"

#include <utility>

namespace cowslipridge::platform {

StoreAvailability::Changes StoreAvailability::record(CallOutcome outcome,
                                                     core::Millis now) {
  ConsecutiveRateLimits =
      outcome == CallOutcome::RateLimited ? ConsecutiveRateLimits + 1 : 0;
  HasUnansweredCalls = HasUnansweredCalls || outcome == CallOutcome::Unanswered;
  Changes changes;
  if (!IsUnavailable && showsOutage(outcome, now)) {
    IsUnavailable = true;
    changes.BecameUnavailable = true;
  }
  if (outcome == CallOutcome::Processed) {
    changes.BecameAvailable = std::exchange(IsUnavailable, false);
    HasUnansweredCalls = false;
    ProcessedAt = now;
  }
  return changes;
}

bool StoreAvailability::showsOutage(CallOutcome outcome,
                                    core::Millis now) const {
  if (outcome == CallOutcome::Rejected ||
      ConsecutiveRateLimits >= RateLimitsUntilUnavailable)
    return true;
  // Before the first processed call, nothing shows that there is a store.
  if (!ProcessedAt)
    return outcome == CallOutcome::Unanswered;
  return HasUnansweredCalls && now - *ProcessedAt >= UnansweredPeriod;
}

} // namespace cowslipridge::platform
