#include "cowslipridge/limits/Ejections.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

/// Consecutive failures that eject a runner.
constexpr unsigned FailuresBeforeEjection = 3;
/// Duration of the first ejection; it doubles with each consecutive ejection,
/// up to `MaxDoublings` times.
constexpr core::Millis BaseEjection{1'000};
constexpr unsigned MaxDoublings = 3;

} // namespace

std::optional<EjectionChange>
Ejections::onUnreachable(const core::RunnerId &runner, core::Millis now) {
  return eject(runner, Records[runner], now);
}

std::optional<EjectionChange> Ejections::onFailure(const core::RunnerId &runner,
                                                   core::Millis now) {
  Record &record = Records[runner];
  if (++record.ConsecutiveFailures < FailuresBeforeEjection)
    return std::nullopt;
  return eject(runner, record, now);
}

std::optional<EjectionChange>
Ejections::onSuccess(const core::RunnerId &runner) {
  const auto it = Records.find(runner);
  if (it == Records.end())
    return std::nullopt;
  const unsigned ejections = it->second.ConsecutiveEjections;
  Records.erase(it);
  if (ejections == 0)
    return std::nullopt;
  return EjectionChange{runner, core::Millis(), ejections};
}

bool Ejections::isEjected(const core::RunnerId &runner,
                          core::Millis now) const {
  const auto it = Records.find(runner);
  return it != Records.end() && now < it->second.Until;
}

std::optional<EjectionChange> Ejections::eject(const core::RunnerId &runner,
                                               Record &record,
                                               core::Millis now) {
  // Requests that were in flight at the same time and failed together cause one
  // ejection, not several.
  if (now < record.Until)
    return std::nullopt;
  const unsigned doublings =
      std::min(record.ConsecutiveEjections, MaxDoublings);
  record.Until = now + BaseEjection * (1 << doublings);
  ++record.ConsecutiveEjections;
  record.ConsecutiveFailures = 0;
  return EjectionChange{runner, record.Until - now,
                        record.ConsecutiveEjections};
}

} // namespace cowslipridge::limits
