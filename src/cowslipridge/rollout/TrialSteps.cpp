#include "cowslipridge/rollout/TrialSteps.hpp"

#include <algorithm>
#include <array>

namespace cowslipridge::rollout {

namespace {

// Sessions stay on the target or on the stable versions through the first half.
// The shares of the second half limit the requests that a bad version gets to
// what operators accept, and leave time for the evidence of one step to arrive
// before the next.
constexpr std::array<TrialStep, LastTrialStep + 1> Steps = {
    {{0, 0.08}, {0.52, 0.25}, {0.60, 0.5}, {0.67, 1}}};
/// Share of the permitted exposure that the first step uses; the rest is a
/// margin, because sessions differ in size.
constexpr double FirstStepExposureShare = 0.6;

} // namespace

TrialStep trialStep(unsigned number, const ExposureLimit &exposure) {
  TrialStep step = Steps.at(std::min(number, LastTrialStep));
  if (number == 0)
    step.Share =
        std::min(step.Share, FirstStepExposureShare * exposure.Fraction);
  return step;
}

double elapsedFraction(const RolloutCommand &command, core::Millis elapsed) {
  return static_cast<double>(elapsed.count()) /
         static_cast<double>(command.Duration.count());
}

bool hasStickySessions(const Trial &trial, core::Millis now) {
  return elapsedFraction(trial.Command, trial.elapsed(now)) <=
         Steps[1].StartFraction;
}

} // namespace cowslipridge::rollout
