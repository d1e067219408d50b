#pragma once

#include "cowslipridge/core/Clock.hpp"

namespace cowslipridge::route {

/// Predicted latency of a model tier for a request that is sent now.
struct TierForecast {
  core::Millis FirstToken;
  core::Millis Waiting;    ///< part of FirstToken that is due to other requests
  core::Millis Completion; ///< time until the end of the answer
};

/// Inputs of the decision whether to escalate a request to a larger model
/// after a smaller one has answered.
struct EscalationContext {
  int Confidence = 0;  ///< the smaller model's confidence in its answer, 0..100
  core::Millis Target; ///< time left until the target for the first token
  core::Millis Deadline; ///< time left until the deadline of the answer
  TierForecast Larger;   ///< of the model to which the request would escalate
};

/// Returns true if an answer with this confidence is escalated when the runners
/// are idle.
bool isLowConfidence(int confidence);

/// Returns the confidence that the answer of a second model deserves if it
/// reported this one. Requests reach it only after a smaller model was nearly
/// confident enough, so that both opinions count.
int confidenceOfSecondModel(int reported);

/// Returns true if an answer is so close to sufficient confidence that the next
/// larger model is likely to be good enough for the request.
bool isWithinReachOfNextModel(int confidence);

/// Returns true if the next larger model may be good enough, so that it is
/// better than no other model at all.
bool mayBeWithinReachOfNextModel(int confidence);

/// Returns true if the request is to be escalated to a larger model.
///
/// A larger model answers hard requests better but has less capacity. While its
/// runners are idle, every low-confidence answer is escalated if the larger
/// model's own time fits the target. As the wait for other requests takes up
/// the rest of the time, only the answers with the lowest confidence are
/// escalated, and none once its answer would be late.
bool shouldEscalate(const EscalationContext &context);

} // namespace cowslipridge::route
