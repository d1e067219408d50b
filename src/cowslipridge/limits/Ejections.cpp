#include "cowslipridge/limits/Ejections.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

constexpr unsigned FailuresToEject = 3;
constexpr core::Millis FirstEjection{1'000};
constexpr unsigned MaxDoublings = 3;

} // namespace

std::optional<EjectionChange>
Ejections::onUnreachable(const core::RunnerId &runner, core::Millis now) {
  return eject(runner, Records[runner], now);
}

std::optional<EjectionChange> Ejections::onFailure(const core::RunnerId &runner,
                                                   core::Millis now) {
  Record &record = Records[runner];
  if (++record.FailuresInRow < FailuresToEject)
    return std::nullopt;
  return eject(runner, record, now);
}

std::optional<EjectionChange>
Ejections::onSuccess(const core::RunnerId &runner) {
  const auto it = Records.find(runner);
  if (it == Records.end())
    return std::nullopt;
  const unsigned ejections = it->second.EjectionsInRow;
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
  // Requests that were under way together are one finding.
  if (now < record.Until)
    return std::nullopt;
  const unsigned doublings = std::min(record.EjectionsInRow, MaxDoublings);
  record.Until = now + FirstEjection * (1 << doublings);
  ++record.EjectionsInRow;
  record.FailuresInRow = 0;
  return EjectionChange{runner, record.Until - now, record.EjectionsInRow};
}

} // namespace cowslipridge::limits
