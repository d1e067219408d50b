#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <optional>

namespace cowslipridge::sidecar {

/// Detects from the gaps between regular ticks that the process was not
/// scheduled for some time.
class PauseDetector {
public:
  /// `limit` is the longest gap that does not count as a pause.
  explicit PauseDetector(core::Millis limit) : Limit(limit) {}

  /// Records a tick; returns the length of the gap if it was a pause.
  std::optional<core::Millis> tick(core::Millis now) {
    const std::optional<core::Millis> last = LastTick;
    LastTick = now;
    if (!last || now - *last <= Limit)
      return std::nullopt;
    return now - *last;
  }

private:
  const core::Millis Limit;
  std::optional<core::Millis> LastTick;
};

} // namespace cowslipridge::sidecar
