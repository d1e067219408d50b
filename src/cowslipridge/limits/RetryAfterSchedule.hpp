#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Random.hpp"

namespace cowslipridge::limits {

/// Computes Retry-After delays of refused requests. Each refused caller gets
/// the next free time slot after those already given out, as if the callers
/// were in one queue that drains at the measured rate.
class RetryAfterSchedule {
public:
  /// Returns the delay for the next refused caller. `wait` is the time in which
  /// the present queue drains, `serviceTime` the additional time for one more
  /// request, in milliseconds.
  core::Millis next(core::Millis wait, double serviceTime, core::Millis now,
                    core::Random &random);

private:
  double NextFree = 0; ///< monotonic milliseconds
};

} // namespace cowslipridge::limits
