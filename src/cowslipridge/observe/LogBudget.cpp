#include "cowslipridge/observe/LogBudget.hpp"

#include <algorithm>
#include <utility>

namespace cowslipridge::observe {

namespace {

constexpr double MillisPerSecond = 1'000;

} // namespace

LogBudget::LogBudget(LogLimits limits)
    : Limits(limits), Lines(limits.LinesPerSecond * limits.BurstSeconds),
      Bytes(limits.BytesPerSecond * limits.BurstSeconds) {}

bool LogBudget::admit(Severity level, std::size_t bytes, core::Millis now) {
  refill(now);
  const double reserved =
      level == Severity::Info ? Limits.ReservedForWarnings : 0;
  const auto size = static_cast<double>(bytes);
  const bool fits =
      Lines - 1 >= reserved * Limits.LinesPerSecond * Limits.BurstSeconds &&
      Bytes - size >= reserved * Limits.BytesPerSecond * Limits.BurstSeconds;
  if (!fits) {
    ++Suppressed;
    return false;
  }
  Lines -= 1;
  Bytes -= size;
  return true;
}

std::uint64_t LogBudget::takeSuppressed() {
  return std::exchange(Suppressed, 0);
}

void LogBudget::refill(core::Millis now) {
  const double seconds =
      static_cast<double>((now - RefilledAt).count()) / MillisPerSecond;
  RefilledAt = now;
  Lines = std::min(Limits.LinesPerSecond * Limits.BurstSeconds,
                   Lines + seconds * Limits.LinesPerSecond);
  Bytes = std::min(Limits.BytesPerSecond * Limits.BurstSeconds,
                   Bytes + seconds * Limits.BytesPerSecond);
}

} // namespace cowslipridge::observe
