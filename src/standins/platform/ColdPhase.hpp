#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>
#include <deque>

namespace cowslipridge::standins::platform {

/// How a runner behaves for a while after its start.
struct ColdTraits {
  core::Millis Time;    ///< duration of the cold phase; zero: it has none
  double PerSecond = 0; ///< requests a second that it handles while cold
  double Overshoot = 1.5;
  double Allowance = 5; ///< requests
  /// Returns the most requests within a second that it survives while cold.
  [[nodiscard]] std::size_t bound() const {
    return static_cast<std::size_t>(PerSecond * Overshoot + Allowance);
  }
};

/// Counts the requests of a cold runner. No I/O.
class ColdPhase {
public:
  void start(const ColdTraits &traits, core::Millis now);
  [[nodiscard]] core::Millis remaining(core::Millis now) const;
  /// Counts a request. Returns false if it is one more than the runner
  /// survives.
  bool onRequest(core::Millis now);
  /// Returns the most requests that arrived within a second while cold.
  [[nodiscard]] std::size_t mostInWindow() const { return Most; }

private:
  ColdTraits Traits;
  core::Millis EndsAt;
  std::deque<core::Millis> Arrivals; ///< within the last second
  std::size_t Most = 0;
};

} // namespace cowslipridge::standins::platform
