#include "cowslipridge/limits/HedgePolicy.hpp"

#include <algorithm>
#include <vector>

namespace cowslipridge::limits {

namespace {

constexpr std::size_t MaxRecent = 200;
constexpr std::size_t MinRecent = 20;
constexpr double HedgeQuantile = 0.95;
/// Multiple of the quantile that is waited for; a plain quantile would hedge
/// one call in twenty of a pool in good order.
constexpr std::int64_t QuantileMultiple = 2;
constexpr core::Millis MinDelay{50};
/// Used until enough answers were timed.
constexpr core::Millis UntimedDelay{2'000};

} // namespace

void HedgePolicy::observe(core::Millis timeToFirstToken) {
  Recent.push_back(timeToFirstToken);
  if (Recent.size() > MaxRecent)
    Recent.pop_front();
}

core::Millis HedgePolicy::delay() const {
  if (Recent.size() < MinRecent)
    return UntimedDelay;
  std::vector<core::Millis> sorted(Recent.begin(), Recent.end());
  const auto rank = static_cast<std::size_t>(
      HedgeQuantile * static_cast<double>(sorted.size() - 1));
  const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(sorted.begin(), nth, sorted.end());
  return std::max(MinDelay, *nth * QuantileMultiple);
}

bool HedgePolicy::shouldHedge(const PendingCall &call,
                              RetryBudget &budget) const {
  if (!call.Idempotent || call.FirstTokenSeen || call.AlreadyHedged)
    return false;
  if (call.Elapsed < delay() || call.Remaining <= core::Millis(0))
    return false;
  return budget.tryAcquire();
}

} // namespace cowslipridge::limits
