#pragma once

#include "cowslipridge/core/Clock.hpp"

namespace cowslipridge::route {

/// What a model could do for a request, were it asked now.
struct TierForecast {
  core::Millis FirstToken;
  core::Millis Completion; ///< until the end of the answer
};

/// What decides whether a larger model is asked after a smaller one answered.
struct EscalationContext {
  int Confidence = 0;    ///< the smaller model's opinion of its answer, 0..100
  core::Millis Target;   ///< what is left of the target for the first token
  core::Millis Deadline; ///< what is left for the whole answer
  TierForecast Largest;
};

/// Whether an answer with this confidence is doubted on quiet runners.
bool isLowConfidence(int confidence);

/// Whether the largest model is asked instead.
///
/// The pattern it answers: a larger model answers hard requests well but has
/// less room. Quiet runners take every doubtful request; as the forecast of the
/// larger model nears the target or the deadline, only the most doubtful ones
/// go on, and none once its answer would be late. Models in between are not
/// asked: they answer few of the requests that the smallest one doubts.
bool shouldEscalate(const EscalationContext &context);

} // namespace cowslipridge::route
