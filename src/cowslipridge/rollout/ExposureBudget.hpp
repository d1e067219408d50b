#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/rollout/TrialAssessment.hpp"

namespace cowslipridge::rollout {

/// Requests that a bad version may get until the deadline of its roll-out: a
/// share of all requests of its service, and some more.
struct ExposureLimit {
  double Fraction = 0;
  double Allowance = 0; ///< requests
};

/// A look at a roll-out in progress. Evidence may have been lost with gateways:
/// then the requests were counted for a shorter time than has elapsed.
struct TrialProgress {
  TrialExposure Exposed;
  double PresentShare = 0; ///< of the sessions, on the version on trial
  core::Millis Elapsed;    ///< since the command
  core::Millis Duration;
};

/// Returns whether the exposure stays clearly within the limit until the
/// deadline, if `share` of the requests go to the version on trial from now on.
bool staysWithin(const ExposureLimit &limit, const TrialProgress &progress,
                 double share);

/// Returns whether a service has so few requests that a bad version could get
/// them all for a good part of the time.
bool isQuiet(const ExposureLimit &limit, const TrialProgress &progress);

/// Returns whether the exposure has nearly reached the limit at the deadline.
bool isNearlyUsedUp(const ExposureLimit &limit, const TrialProgress &progress);

} // namespace cowslipridge::rollout
