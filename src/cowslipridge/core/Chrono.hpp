#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <chrono>

namespace cowslipridge::core {

/// Converts a duration to std::chrono, for the timers of libraries.
inline std::chrono::milliseconds toChrono(Millis length) {
  return std::chrono::milliseconds(length.count());
}

} // namespace cowslipridge::core
