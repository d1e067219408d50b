#include "cowslipridge/route/ModelCascade.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

/// Answers with less confidence are doubted on quiet runners.
constexpr double LowConfidenceThreshold = 62;
/// Parts of the time that are left free: with less than the first no answer is
/// doubted, with more than the second the doubt counts in full.
constexpr double MinSlackShare = 0.3;
constexpr double FullEscalationSlackShare = 0.75;

// Part of `available` that `needed` leaves free; negative when it does not fit.
double slackShare(core::Millis available, core::Millis needed) {
  if (available.count() <= 0)
    return -1;
  return static_cast<double>((available - needed).count()) /
         static_cast<double>(available.count());
}

} // namespace

bool isLowConfidence(int confidence) {
  return confidence < LowConfidenceThreshold;
}

bool shouldEscalate(const EscalationContext &context) {
  const double available =
      std::min(slackShare(context.Target, context.Largest.FirstToken),
               slackShare(context.Deadline, context.Largest.Completion));
  const double scale = std::clamp(
      (available - MinSlackShare) / (FullEscalationSlackShare - MinSlackShare),
      0.0, 1.0);
  return context.Confidence < LowConfidenceThreshold * scale;
}

} // namespace cowslipridge::route
