#include "cowslipridge/rollout/ExposureBudget.hpp"

#include <algorithm>

namespace cowslipridge::rollout {

namespace {

/// Part of the limit that a roll-out plans with; the rest is for requests that
/// reports of other gateways don't show yet, and for sessions of uneven size.
constexpr double PlannedPart = 0.8;
/// Part of the duration over which a quiet service stays within the limit even
/// if all of its requests are exposed.
constexpr double QuietTime = 0.4;
/// Part of the elapsed time for which requests must have been counted.
constexpr double MinObservedTime = 0.15;
/// Part of the limit at which the trial of an unproved version ends.
constexpr double EndPart = 0.9;

double millis(core::Millis time) { return static_cast<double>(time.count()); }

double requestsPerMilli(const TrialProgress &progress) {
  return static_cast<double>(progress.Exposed.All) /
         std::max(millis(progress.Exposed.Observed), 1.0);
}

// Returns the requests on the version on trial so far, those not counted
// included.
double exposedSoFar(const TrialProgress &progress) {
  const double uncounted =
      millis(progress.Elapsed) - millis(progress.Exposed.Observed);
  return static_cast<double>(progress.Exposed.Target) +
         progress.PresentShare * requestsPerMilli(progress) *
             std::max(uncounted, 0.0);
}

double limitAtDeadline(const ExposureLimit &limit,
                       const TrialProgress &progress) {
  const double requests =
      std::max(requestsPerMilli(progress) * millis(progress.Duration),
               static_cast<double>(progress.Exposed.All));
  return limit.Fraction * requests + limit.Allowance;
}

bool isObserved(const TrialProgress &progress) {
  const core::Millis elapsed = std::min(progress.Elapsed, progress.Duration);
  return millis(progress.Exposed.Observed) >= MinObservedTime * millis(elapsed);
}

// Returns whether the exposure stays within the planned part of the limit, if
// `share` of the requests are exposed for this time.
bool isWithin(const ExposureLimit &limit, const TrialProgress &progress,
              double share, double time) {
  if (!isObserved(progress))
    return false;
  const double expected =
      exposedSoFar(progress) +
      share * requestsPerMilli(progress) * std::max(time, 0.0);
  return expected <= PlannedPart * limitAtDeadline(limit, progress);
}

} // namespace

bool staysWithin(const ExposureLimit &limit, const TrialProgress &progress,
                 double share) {
  return isWithin(limit, progress, share,
                  millis(progress.Duration) - millis(progress.Elapsed));
}

bool isQuiet(const ExposureLimit &limit, const TrialProgress &progress) {
  return isWithin(limit, progress, 1, QuietTime * millis(progress.Duration));
}

bool isNearlyUsedUp(const ExposureLimit &limit, const TrialProgress &progress) {
  return isObserved(progress) &&
         exposedSoFar(progress) > EndPart * limitAtDeadline(limit, progress);
}

} // namespace cowslipridge::rollout
