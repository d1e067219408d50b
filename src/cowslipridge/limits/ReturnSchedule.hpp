#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Random.hpp"

namespace cowslipridge::limits {

/// Tells refused callers when to come back: each is given the next free time
/// after those already given, as if they stood in one queue that drains at the
/// measured rate.
class ReturnSchedule {
public:
  /// `wait` is how long the present queue takes to drain, `serviceTime` how
  /// long the drain of one more request takes.
  core::Millis next(core::Millis wait, double serviceTime, core::Millis now,
                    core::Random &random);

private:
  double NextFree = 0; ///< monotonic milliseconds
};

} // namespace cowslipridge::limits
