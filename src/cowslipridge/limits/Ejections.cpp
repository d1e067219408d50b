#include "cowslipridge/limits/Ejections.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

constexpr unsigned FailuresToEject = 3;
constexpr core::Millis FirstEjection{1'000};
constexpr unsigned MaxDoublings = 3;

} // namespace

void Ejections::onUnreachable(const core::RunnerId &runner, core::Millis now) {
  eject(Records[runner], now);
}

void Ejections::onFailure(const core::RunnerId &runner, core::Millis now) {
  Record &record = Records[runner];
  if (++record.FailuresInRow >= FailuresToEject)
    eject(record, now);
}

void Ejections::onSuccess(const core::RunnerId &runner) {
  Records.erase(runner);
}

bool Ejections::isEjected(const core::RunnerId &runner,
                          core::Millis now) const {
  const auto it = Records.find(runner);
  return it != Records.end() && now < it->second.Until;
}

void Ejections::eject(Record &record, core::Millis now) {
  // Requests that were under way together are one finding.
  if (now < record.Until)
    return;
  const unsigned doublings = std::min(record.EjectionsInRow, MaxDoublings);
  record.Until = now + FirstEjection * (1 << doublings);
  ++record.EjectionsInRow;
  record.FailuresInRow = 0;
}

} // namespace cowslipridge::limits
