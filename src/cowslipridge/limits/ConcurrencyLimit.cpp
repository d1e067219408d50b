#include "cowslipridge/limits/ConcurrencyLimit.hpp"

#include <algorithm>
#include <utility>

namespace cowslipridge::limits {

namespace {

/// The limit starts at its upper bound or at this, whichever is less, but not
/// under a quarter of the bound.
constexpr unsigned InitialLimit = 8;
constexpr unsigned InitialDivisor = 4;
constexpr double SlowdownGain = 0.1;
/// Slowdown against a runner with little to do that counts as overload.
constexpr double TolerableSlowdown = 1.1;
/// Part of the limit that it falls to at once, at the least.
constexpr double MinDecreaseFactor = 0.5;
/// Rise per round until the first overload, as a part of the limit.
constexpr double SlowStartShare = 0.25;
constexpr double RisePerRound = 1;
/// Requests of one round, at the least.
constexpr unsigned MinRound = 8;
/// The same when their expected times are means, which differ from each.
constexpr unsigned MinEstimatedRound = 32;
/// Part of the limit that must have been in use for it to rise.
constexpr double BusyShare = 0.8;
/// The no-load ratio rises only by requests that ran nearly alone; otherwise
/// lasting overload would pass for normal.
constexpr unsigned NoLoadInFlight = 2;
/// Part of the upper bound that counts as nearly alone.
constexpr unsigned NoLoadDivisor = 8;
constexpr double NoLoadGain = 0.1;
/// Rise of the no-load ratio over the least one that puts it in doubt.
constexpr double DoubtfulRise = 1.2;
constexpr unsigned RoundsPerProbe = 5;
/// Part of the limit that is used while the no-load ratio is probed.
constexpr double ProbeShare = 0.5;
/// Bounds of one measured ratio, so that one outlier does little.
constexpr double MinRatio = 0.05;
constexpr double MaxRatio = 20;

unsigned initialLimit(unsigned max) {
  return std::min(max, std::max(InitialLimit, max / InitialDivisor));
}

double millisOf(core::Millis length) {
  return std::max(1.0, static_cast<double>(length.count()));
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyBounds bounds)
    : Bounds{std::max(1U, bounds.Min), std::max(bounds.Max, bounds.Min)},
      Limit(std::max(Bounds.Min, initialLimit(Bounds.Max))) {}

unsigned ConcurrencyLimit::current() const {
  return static_cast<unsigned>(Limit);
}

bool ConcurrencyLimit::isNearlyAlone(unsigned inFlight) const {
  return inFlight <= std::max(NoLoadInFlight, Bounds.Max / NoLoadDivisor);
}

void ConcurrencyLimit::learnNoLoad(double ratio, unsigned inFlight) {
  if (isNearlyAlone(inFlight))
    NoLoadSlowdown += NoLoadGain * (ratio - NoLoadSlowdown);
}

void ConcurrencyLimit::onFinish(const FinishedRequest &request,
                                core::Millis now) {
  if (request.Failed)
    return;
  const double ratio =
      std::clamp(millisOf(request.Elapsed) / millisOf(request.Expected),
                 MinRatio, MaxRatio);
  Slowdown += SlowdownGain * (ratio - Slowdown);
  learnNoLoad(ratio, request.InFlight);
  if (now - request.Elapsed < AdjustedAt)
    return;
  Current.Elapsed += ratio * millisOf(request.Expected);
  Current.Expected += millisOf(request.Expected);
  Current.MaxInFlight = std::max(Current.MaxInFlight, request.InFlight);
  ++Current.Finished;
  const unsigned least = request.Estimated ? MinEstimatedRound : MinRound;
  if (Current.Finished >= std::max(least, current()))
    adjust(now);
}

void ConcurrencyLimit::adjust(core::Millis now) {
  const double ratio = Current.Elapsed / Current.Expected;
  if (LimitBeforeProbe > 0)
    endProbe(ratio);
  else if (shouldProbe())
    LimitBeforeProbe = std::exchange(Limit, Limit * ProbeShare);
  else
    follow(ratio);
  Limit = std::clamp(Limit, static_cast<double>(Bounds.Min),
                     static_cast<double>(Bounds.Max));
  Current = {};
  AdjustedAt = now;
}

void ConcurrencyLimit::follow(double ratio) {
  if (ratio < NoLoadSlowdown)
    NoLoadSlowdown += NoLoadGain * (ratio - NoLoadSlowdown);
  LeastNoLoad = std::min(LeastNoLoad, NoLoadSlowdown);
  const double tolerable = TolerableSlowdown * NoLoadSlowdown;
  const bool isBusy = Current.MaxInFlight >= BusyShare * Limit;
  if (ratio > tolerable) {
    Limit *= std::max(MinDecreaseFactor, tolerable / ratio);
    SlowStart = false;
  }
  if (isBusy)
    Limit += SlowStart ? SlowStartShare * Limit : RisePerRound;
}

bool ConcurrencyLimit::shouldProbe() {
  if (NoLoadSlowdown < DoubtfulRise * LeastNoLoad)
    return false;
  if (RoundsUntilProbe > 0) {
    --RoundsUntilProbe;
    return false;
  }
  RoundsUntilProbe = RoundsPerProbe;
  return true;
}

void ConcurrencyLimit::endProbe(double ratio) {
  Limit = std::exchange(LimitBeforeProbe, 0);
  NoLoadSlowdown = std::min(NoLoadSlowdown, ratio);
}

} // namespace cowslipridge::limits
