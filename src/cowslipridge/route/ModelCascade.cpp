#include "cowslipridge/route/ModelCascade.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

/// Confidence below which an answer is escalated if the runners are idle.
constexpr double LowConfidenceThreshold = 62;
/// Confidence above which a model of intermediate size is likely to be good
/// enough.
constexpr int MinNextModelConfidence = 38;
/// Confidence above which it may be good enough.
constexpr int MinPossibleNextModelConfidence = 25;
/// Weight of the first model's opinion in that of the second.
constexpr int SecondModelBonus = 12;
constexpr int MaxConfidence = 100;
/// Slack is the share of the time beside the larger model's own that the wait
/// for other requests would leave unused. Below the first value nothing is
/// escalated; above the second the full confidence threshold applies; in
/// between, the threshold grows linearly.
constexpr double MinSlackShare = 0.55;
constexpr double FullEscalationSlackShare = 0.95;

/// Share of the deadline that an answer may need of itself without being taken
/// for load.
constexpr double DeadlineMargin = 0.2;

// Returns the share of `available` that `needed` leaves unused; negative if
// `needed` is longer.
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

int confidenceOfSecondModel(int reported) {
  return std::min(MaxConfidence, reported + SecondModelBonus);
}

bool isWithinReachOfNextModel(int confidence) {
  return confidence >= MinNextModelConfidence;
}

bool mayBeWithinReachOfNextModel(int confidence) {
  return confidence >= MinPossibleNextModelConfidence;
}

bool shouldEscalate(const EscalationContext &context) {
  const TierForecast &larger = context.Larger;
  const core::Millis ownTime = larger.FirstToken - larger.Waiting;
  const double available = std::min(
      slackShare(context.Target - ownTime, larger.Waiting),
      slackShare(context.Deadline, larger.Completion) + DeadlineMargin);
  const double scale = std::clamp(
      (available - MinSlackShare) / (FullEscalationSlackShare - MinSlackShare),
      0.0, 1.0);
  return context.Confidence < LowConfidenceThreshold * scale;
}

} // namespace cowslipridge::route
