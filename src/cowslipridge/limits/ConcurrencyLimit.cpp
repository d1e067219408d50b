#include "cowslipridge/limits/ConcurrencyLimit.hpp"

#include <algorithm>
#include <utility>

namespace cowslipridge::limits {

namespace {

/// The limit starts at its upper bound or at `InitialLimit`, whichever is less,
/// but not below a quarter of the upper bound.
constexpr unsigned InitialLimit = 8;
constexpr unsigned InitialDivisor = 4;
/// Gain of the moving average of the slowdown.
constexpr double SlowdownGain = 0.1;
/// Slowdown, relative to a lightly loaded runner, above which the runner counts
/// as overloaded.
constexpr double TolerableSlowdown = 1.1;
/// Smallest factor by which one round reduces the limit.
constexpr double MinDecreaseFactor = 0.5;
/// Increase per round until the first overload, as a share of the limit.
constexpr double SlowStartIncrease = 0.25;
/// Increase per round after the first overload, in requests.
constexpr double IncreasePerRound = 1;
/// Minimum number of requests in one round.
constexpr unsigned MinRoundRequests = 8;
/// The same for requests with an estimated run time: the estimate is a mean,
/// from which single requests deviate.
constexpr unsigned MinEstimatedRoundRequests = 32;
/// Share of the limit that must have been in use for it to increase.
constexpr double MinUsedShare = 0.8;
/// Requests in flight up to which the runner always counts as lightly loaded.
/// Only such requests may raise the no-load ratio; otherwise lasting overload
/// would be taken for normal.
constexpr unsigned NoLoadInFlight = 2;
/// The runner also counts as lightly loaded up to the upper bound divided by
/// this number.
constexpr unsigned NoLoadDivisor = 8;
/// Gain of the moving average of the no-load ratio.
constexpr double NoLoadGain = 0.1;
/// Factor over the smallest no-load ratio so far from which the present ratio
/// is suspect and is probed.
constexpr double SuspectNoLoadRise = 1.2;
/// Rounds between two probes of a suspect no-load ratio.
constexpr unsigned RoundsPerProbe = 5;
/// Share of the limit that is used while the no-load ratio is probed.
constexpr double ProbeShare = 0.5;
/// Bounds of one measured ratio; they limit the effect of an outlier.
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

bool ConcurrencyLimit::isLightlyLoaded(unsigned inFlight) const {
  return inFlight <= std::max(NoLoadInFlight, Bounds.Max / NoLoadDivisor);
}

void ConcurrencyLimit::updateNoLoad(double ratio, unsigned inFlight) {
  if (isLightlyLoaded(inFlight))
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
  updateNoLoad(ratio, request.InFlight);
  if (now - request.Elapsed < AdjustedAt)
    return;
  Current.Elapsed += ratio * millisOf(request.Expected);
  Current.Expected += millisOf(request.Expected);
  Current.MaxInFlight = std::max(Current.MaxInFlight, request.InFlight);
  ++Current.Finished;
  const unsigned needed =
      request.Estimated ? MinEstimatedRoundRequests : MinRoundRequests;
  if (Current.Finished >= std::max(needed, current()))
    adjust(now);
}

void ConcurrencyLimit::adjust(core::Millis now) {
  const double ratio = Current.Elapsed / Current.Expected;
  if (LimitBeforeProbe > 0)
    endProbe(ratio);
  else if (shouldProbe())
    LimitBeforeProbe = std::exchange(Limit, Limit * ProbeShare);
  else
    adjustToRound(ratio);
  Limit = std::clamp(Limit, static_cast<double>(Bounds.Min),
                     static_cast<double>(Bounds.Max));
  Current = {};
  AdjustedAt = now;
}

void ConcurrencyLimit::adjustToRound(double ratio) {
  if (ratio < NoLoadSlowdown)
    NoLoadSlowdown += NoLoadGain * (ratio - NoLoadSlowdown);
  MinNoLoadSlowdown = std::min(MinNoLoadSlowdown, NoLoadSlowdown);
  const double tolerable = TolerableSlowdown * NoLoadSlowdown;
  const bool isBusy = Current.MaxInFlight >= MinUsedShare * Limit;
  if (ratio > tolerable) {
    Limit *= std::max(MinDecreaseFactor, tolerable / ratio);
    SlowStart = false;
  }
  if (isBusy)
    Limit += SlowStart ? SlowStartIncrease * Limit : IncreasePerRound;
}

bool ConcurrencyLimit::shouldProbe() {
  if (NoLoadSlowdown < SuspectNoLoadRise * MinNoLoadSlowdown)
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
