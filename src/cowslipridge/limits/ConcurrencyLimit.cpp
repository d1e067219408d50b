#include "cowslipridge/limits/ConcurrencyLimit.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

constexpr double SlowdownGain = 0.1;
/// Slowdown against a runner with little to do that counts as overload.
constexpr double TolerableSlowdown = 1.25;
/// The limit falls in proportion to the excess, at most to this part at once.
constexpr double MinDecreaseFactor = 0.5;
/// The no-load ratio falls to a lower one at once, and rises only by requests
/// that ran nearly alone; otherwise lasting overload would pass for normal.
constexpr double NoLoadRise = 0.1;
constexpr unsigned NoLoadInFlight = 2;
/// Part of the limit that must be in use for it to rise.
constexpr double BusyShare = 0.8;
/// Bounds of one measured ratio, so that one outlier does little.
constexpr double MinRatio = 0.05;
constexpr double MaxRatio = 20;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyBounds bounds)
    : Bounds{std::max(1U, bounds.Min), std::max(bounds.Max, bounds.Min)},
      Limit(Bounds.Max) {}

unsigned ConcurrencyLimit::current() const {
  return static_cast<unsigned>(Limit);
}

void ConcurrencyLimit::onFinish(core::Millis elapsed, core::Millis expected,
                                unsigned inFlight, bool failed) {
  if (!failed) {
    const auto took = static_cast<double>(elapsed.count());
    const auto wanted = std::max(1.0, static_cast<double>(expected.count()));
    const double ratio = std::clamp(took / wanted, MinRatio, MaxRatio);
    Slowdown += SlowdownGain * (ratio - Slowdown);
    NoLoadSlowdown = std::min(Slowdown, NoLoadSlowdown);
    if (inFlight <= NoLoadInFlight)
      NoLoadSlowdown += NoLoadRise * (Slowdown - NoLoadSlowdown);
  }
  ++FinishedInRound;
  if (FinishedInRound < current())
    return;
  FinishedInRound = 0;
  adjust(inFlight);
}

void ConcurrencyLimit::adjust(unsigned inFlight) {
  const double tolerable = TolerableSlowdown * NoLoadSlowdown;
  if (Slowdown > tolerable) {
    Limit *= std::max(MinDecreaseFactor, tolerable / Slowdown);
  } else if (inFlight >= BusyShare * Limit) {
    Limit += 1;
  }
  Limit = std::clamp(Limit, static_cast<double>(Bounds.Min),
                     static_cast<double>(Bounds.Max));
}

} // namespace cowslipridge::limits
