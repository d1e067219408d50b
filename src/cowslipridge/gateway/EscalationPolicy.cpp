#include "cowslipridge/gateway/EscalationPolicy.hpp"

#include "cowslipridge/gateway/RequestTraits.hpp"

namespace cowslipridge::gateway {

ModelTier EscalationPolicy::firstTier(const RequestContext &request) {
  if (!request.Caller.AnyModel || request.Route->Models.empty())
    return std::nullopt;
  // The events that the caller has may be the largest model's, and a pause in
  // its stream has begun.
  return isResumed(request) ? request.Route->Models.size() - 1 : 0;
}

EscalationDecision EscalationPolicy::decide(const RequestContext &request,
                                            std::size_t tier, int reported,
                                            core::Millis now) {
  const std::size_t largest = request.Route->Models.size() - 1;
  const bool isIntermediate = tier > 0 && tier < largest;
  const int confidence =
      isIntermediate ? route::confidenceOfSecondModel(reported) : reported;
  EscalationDecision decision{
      tier, tier < largest && route::isLowConfidence(confidence), {}};
  if (isIntermediate)
    NextModels[request.Route->Name].record(!decision.LowConfidence, now);
  if (tier < largest)
    decision.Larger = Selection.forecast(request, largest, now);
  if (!decision.Larger)
    return decision;
  if (hasTimeFor(*decision.Larger, request, confidence, now))
    decision.Tier = escalationTier(request, tier, confidence, now);
  else if (nextModelMayHelp(request, tier, confidence, now))
    decision.Tier = tier + 1;
  return decision;
}

bool EscalationPolicy::hasTimeFor(const route::TierForecast &forecast,
                                  const RequestContext &request, int confidence,
                                  core::Millis now) {
  route::EscalationContext context;
  context.Confidence = confidence;
  context.Target = request.Route->TargetLatency - (now - request.ArrivedAt);
  context.Deadline = request.Deadline - now;
  context.Larger = forecast;
  return route::shouldEscalate(context);
}

bool EscalationPolicy::nextModelMayHelp(const RequestContext &request,
                                        std::size_t tier, int confidence,
                                        core::Millis now) const {
  const bool isIntermediate = tier + 2 < request.Route->Models.size();
  if (tier != 0 || !isIntermediate || !route::isLowConfidence(confidence) ||
      !route::mayBeWithinReachOfNextModel(confidence))
    return false;
  const auto next = Selection.forecast(request, tier + 1, now);
  return next && hasTimeFor(*next, request, confidence, now);
}

std::size_t EscalationPolicy::escalationTier(const RequestContext &request,
                                             std::size_t tier, int confidence,
                                             core::Millis now) {
  const std::size_t largest = request.Route->Models.size() - 1;
  const bool triesNext = tier == 0 &&
                         route::isWithinReachOfNextModel(confidence) &&
                         NextModels[request.Route->Name].isWorthwhile(now);
  return triesNext ? tier + 1 : largest;
}

} // namespace cowslipridge::gateway
