#include "cowslipridge/limits/HedgePolicy.hpp"

#include <algorithm>
#include <vector>

namespace cowslipridge::limits {

namespace {

/// Number of recent times to first token that the quantile is computed over.
constexpr std::size_t MaxSamples = 200;
/// Number of samples from which on the quantile is used.
constexpr std::size_t MinSamples = 20;
constexpr double HedgeQuantile = 0.95;
/// The hedging delay is the quantile times this number. The plain quantile
/// would hedge one call in twenty of a healthy pool.
constexpr std::int64_t DelayMultiplier = 2;
constexpr core::Millis MinDelay{50};
/// Delay until there are `MinSamples` samples.
constexpr core::Millis DefaultDelay{2'000};

} // namespace

void HedgePolicy::observe(core::Millis timeToFirstToken) {
  Recent.push_back(timeToFirstToken);
  if (Recent.size() > MaxSamples)
    Recent.pop_front();
}

core::Millis HedgePolicy::delay() const {
  if (Recent.size() < MinSamples)
    return DefaultDelay;
  std::vector<core::Millis> sorted(Recent.begin(), Recent.end());
  const auto rank = static_cast<std::size_t>(
      HedgeQuantile * static_cast<double>(sorted.size() - 1));
  const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(sorted.begin(), nth, sorted.end());
  return std::max(MinDelay, *nth * DelayMultiplier);
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
