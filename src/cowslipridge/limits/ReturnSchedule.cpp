#include "cowslipridge/limits/ReturnSchedule.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

constexpr double MinRetryAfterMillis = 100;
constexpr double MaxRetryAfterMillis = 30'000;
/// Refused callers come back within this share around their time.
constexpr double JitterShare = 0.25;
/// Capacity that returning callers may count on; the rest is for new ones.
constexpr double ShareForReturning = 0.5;

} // namespace

core::Millis ReturnSchedule::next(core::Millis wait, double serviceTime,
                                  core::Millis now, core::Random &random) {
  const auto start = static_cast<double>(now.count());
  const double drained = start + static_cast<double>(wait.count());
  NextFree = std::clamp(NextFree, drained, start + MaxRetryAfterMillis);
  const double after = NextFree - start;
  NextFree += serviceTime / ShareForReturning;
  const double jitter = 1 + JitterShare * (2 * core::uniform(random) - 1);
  return core::Millis(static_cast<std::int64_t>(
      std::clamp(after * jitter, MinRetryAfterMillis, MaxRetryAfterMillis)));
}

} // namespace cowslipridge::limits
