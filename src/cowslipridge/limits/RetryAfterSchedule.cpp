#include "cowslipridge/limits/RetryAfterSchedule.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

constexpr double MinRetryAfterMillis = 100;
constexpr double MaxRetryAfterMillis = 30'000;
/// Relative jitter of the delay, in both directions.
constexpr double JitterShare = 0.25;
/// Share of the capacity that is scheduled for retries; the rest is left for
/// new requests.
constexpr double RetryCapacityShare = 0.5;

} // namespace

core::Millis RetryAfterSchedule::next(core::Millis wait, double serviceTime,
                                      core::Millis now, core::Random &random) {
  const auto start = static_cast<double>(now.count());
  const double drained = start + static_cast<double>(wait.count());
  NextFree = std::clamp(NextFree, drained, start + MaxRetryAfterMillis);
  const double delay = NextFree - start;
  NextFree += serviceTime / RetryCapacityShare;
  const double jitter = 1 + JitterShare * (2 * core::uniform(random) - 1);
  return core::Millis(static_cast<std::int64_t>(
      std::clamp(delay * jitter, MinRetryAfterMillis, MaxRetryAfterMillis)));
}

} // namespace cowslipridge::limits
