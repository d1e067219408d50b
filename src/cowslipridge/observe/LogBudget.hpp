#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/observe/EventCatalogue.hpp"

#include <cstddef>
#include <cstdint>

namespace cowslipridge::observe {

/// How much a process may log.
struct LogLimits {
  double LinesPerSecond = 400;
  double BytesPerSecond = 128.0 * 1024;
  double BurstSeconds = 2; ///< unused budget is saved for so long
  /// Part of the saved budget that is left for warnings and errors.
  double ReservedForWarnings = 0.4;
};

/// Bounds the volume of a log. A line about a failure is written before one
/// about a success; what is left out is counted.
class LogBudget {
public:
  explicit LogBudget(LogLimits limits);

  /// Whether a line of this size may be written now.
  [[nodiscard]] bool admit(Severity level, std::size_t bytes, core::Millis now);
  /// A line that was admitted could not be written.
  void countDropped() { ++Suppressed; }
  /// Lines left out since the last call.
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
