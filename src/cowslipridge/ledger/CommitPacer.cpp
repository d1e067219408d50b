#include "cowslipridge/ledger/CommitPacer.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::ledger {

namespace {

constexpr double MillisPerSecond = 1'000;

} // namespace

CommitPacer::CommitPacer(PacerSettings settings)
    : Settings(settings), Credit(settings.Burst) {
  setFleetSize(1);
}

void CommitPacer::setFleetSize(std::size_t ledgers) {
  const auto size = static_cast<double>(std::max<std::size_t>(1, ledgers));
  const auto budget =
      static_cast<double>(std::max(1U, Settings.FleetWritesPerSecond));
  MillisPerCommit = MillisPerSecond * size / budget;
}

double CommitPacer::creditAt(core::Millis now) const {
  const auto elapsed = static_cast<double>((now - LastUpdate).count());
  return std::min<double>(Settings.Burst, Credit + elapsed / MillisPerCommit);
}

core::Millis CommitPacer::earnedAt(double commits) const {
  const double missing = std::max(0.0, commits - Credit);
  return LastUpdate + core::Millis(static_cast<std::int64_t>(
                          std::ceil(missing * MillisPerCommit)));
}

core::Millis CommitPacer::commitAt(CommitUrgency urgency,
                                   core::Millis oldest) const {
  if (urgency == CommitUrgency::Now)
    return std::max(NextAllowed, earnedAt(1));
  const double reserve = Settings.Burst / 2.0;
  const core::Millis spare = std::max(NextAllowed, earnedAt(1 + reserve));
  if (urgency == CommitUrgency::Soon)
    return spare;
  return std::max(spare, oldest + Settings.MaxInterval);
}

void CommitPacer::onCommit(core::Millis now) {
  Credit = creditAt(now) - 1;
  LastUpdate = now;
  NextAllowed = now + Settings.MinInterval;
}

} // namespace cowslipridge::ledger
