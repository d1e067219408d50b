#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <chrono>

namespace cowslipridge::core {

/// A length of time as timers of libraries take it.
inline std::chrono::milliseconds toChrono(Millis length) {
  return std::chrono::milliseconds(length.count());
}

} // namespace cowslipridge::core
