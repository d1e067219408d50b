#include "cowslipridge/limits/ConcurrencyLimit.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

/// Part of the upper bound at which the limit starts.
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
/// Part of the limit that must have been in use for it to rise.
constexpr double BusyShare = 0.8;
/// The no-load ratio rises only by requests that ran nearly alone; otherwise
/// lasting overload would pass for normal.
constexpr unsigned NoLoadInFlight = 2;
/// Part of the upper bound that counts as nearly alone.
constexpr unsigned NoLoadDivisor = 8;
constexpr double NoLoadGain = 0.1;
/// Bounds of one measured ratio, so that one outlier does little.
constexpr double MinRatio = 0.05;
constexpr double MaxRatio = 20;

double millisOf(core::Millis length) {
  return std::max(1.0, static_cast<double>(length.count()));
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyBounds bounds)
    : Bounds{std::max(1U, bounds.Min), std::max(bounds.Max, bounds.Min)},
      Limit(std::max(Bounds.Min,
                     (Bounds.Max + InitialDivisor - 1) / InitialDivisor)) {}

unsigned ConcurrencyLimit::current() const {
  return static_cast<unsigned>(Limit);
}

void ConcurrencyLimit::learnNoLoad(double ratio, unsigned inFlight) {
  if (inFlight <= std::max(NoLoadInFlight, Bounds.Max / NoLoadDivisor))
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
  if (Current.Finished >= std::max(MinRound, current()))
    adjust(now);
}

void ConcurrencyLimit::adjust(core::Millis now) {
  const double ratio = Current.Elapsed / Current.Expected;
  if (ratio < NoLoadSlowdown)
    NoLoadSlowdown += NoLoadGain * (ratio - NoLoadSlowdown);
  const double tolerable = TolerableSlowdown * NoLoadSlowdown;
  const bool isBusy = Current.MaxInFlight >= BusyShare * Limit;
  if (ratio > tolerable) {
    Limit *= std::max(MinDecreaseFactor, tolerable / ratio);
    SlowStart = false;
  }
  if (isBusy)
    Limit += SlowStart ? SlowStartShare * Limit : RisePerRound;
  Limit = std::clamp(Limit, static_cast<double>(Bounds.Min),
                     static_cast<double>(Bounds.Max));
  Current = {};
  AdjustedAt = now;
}

} // namespace cowslipridge::limits
