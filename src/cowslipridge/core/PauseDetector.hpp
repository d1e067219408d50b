#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <optional>

namespace cowslipridge::core {

/// Detects from the gaps between regular ticks that the process was not
/// scheduled for some time.
class PauseDetector {
public:
  /// `limit` is the longest gap that does not count as a pause.
  explicit PauseDetector(Millis limit) : Limit(limit) {}

  /// Records a tick; returns the length of the gap if it was a pause.
  std::optional<Millis> tick(Millis now) {
    const std::optional<Millis> last = LastTick;
    LastTick = now;
    if (!last || now - *last <= Limit)
      return std::nullopt;
    return now - *last;
  }

private:
  const Millis Limit;
  std::optional<Millis> LastTick;
};

} // namespace cowslipridge::core
