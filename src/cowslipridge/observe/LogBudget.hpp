#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/observe/EventCatalogue.hpp"

#include <cstddef>
#include <cstdint>

namespace cowslipridge::observe {

/// Rate limits of a process's log.
struct LogLimits {
  double LinesPerSecond = 400;
  double BytesPerSecond = 128.0 * 1024;
  /// Unused budget accumulates for at most this long.
  double BurstSeconds = 2;
  /// Fraction of the accumulated budget that only warnings and errors may use.
  double ReservedForWarnings = 0.4;
};

/// Token bucket that limits the volume of a log, in lines and in bytes. Part of
/// the budget is reserved for warnings and errors; suppressed lines are
/// counted.
class LogBudget {
public:
  explicit LogBudget(LogLimits limits);

  /// Charges a line of `bytes` to the budget and returns true, or counts it as
  /// suppressed and returns false when the budget does not suffice.
  [[nodiscard]] bool admit(Severity level, std::size_t bytes, core::Millis now);
  /// Counts a line that was admitted but could not be written.
  void countDropped() { ++Suppressed; }
  /// Returns the number of suppressed lines since the last call.
  [[nodiscard]] std::uint64_t takeSuppressed();

private:
  void refill(core::Millis now);

  const LogLimits Limits;
  double Lines;
  double Bytes;
  core::Millis RefilledAt;
  std::uint64_t Suppressed = 0;
};

} // namespace cowslipridge::observe
