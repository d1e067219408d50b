#include "cowslipridge/core/Clock.hpp"

#include <chrono>

namespace cowslipridge::core {

namespace {

template <typename ClockType> Millis readClock() {
  const auto now = ClockType::now().time_since_epoch();
  return Millis(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

Millis SystemClock::monotonic() const {
  return readClock<std::chrono::steady_clock>();
}

Millis SystemClock::wall() const {
  return readClock<std::chrono::system_clock>();
}

} // namespace cowslipridge::core
