#pragma once

#include "cowslipridge/rollout/ExposureBudget.hpp"
#include "cowslipridge/rollout/Trial.hpp"

namespace cowslipridge::rollout {

/// One step of a roll-out.
struct TrialStep {
  double StartFraction; ///< fraction of the duration from which the step is due
  double Share;         ///< share of the sessions that go to the target
};

/// The last step sends all sessions to the target.
inline constexpr unsigned LastTrialStep = 3;

/// Returns a step, the last one for larger numbers. The first one's share
/// depends on the permitted exposure.
TrialStep trialStep(unsigned number, const ExposureLimit &exposure);

/// Returns the fraction of its duration that a roll-out has taken.
double elapsedFraction(const RolloutCommand &command, core::Millis elapsed);

/// Returns whether sessions stay on their version at this time: the first step
/// lasts through the first half of the duration.
bool hasStickySessions(const Trial &trial, core::Millis now);

} // namespace cowslipridge::rollout
