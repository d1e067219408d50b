#pragma once

#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/gateway/RunnerSelection.hpp"
#include "cowslipridge/route/ModelCascade.hpp"
#include "cowslipridge/route/NextModelRecord.hpp"

#include <map>
#include <string>

namespace cowslipridge::gateway {

/// Decides which of a route's models answers a request first, and to which one
/// it escalates when the answer has low confidence.
class EscalationPolicy {
public:
  /// `selection` must outlive the policy.
  explicit EscalationPolicy(const RunnerSelection &selection)
      : Selection(selection) {}

  /// Returns the tier that is queried first.
  static ModelTier firstTier(const RequestContext &request);
  /// Decides whether the request escalates after `tier` answered with this
  /// confidence.
  EscalationDecision decide(const RequestContext &request, std::size_t tier,
                            int reported, core::Millis now);

private:
  /// Returns the tier to which a low-confidence answer of `tier` escalates.
  std::size_t escalationTier(const RequestContext &request, std::size_t tier,
                             int confidence, core::Millis now);
  /// Returns whether the forecast leaves time for an answer to escalate.
  static bool hasTimeFor(const route::TierForecast &forecast,
                         const RequestContext &request, int confidence,
                         core::Millis now);
  /// Returns whether the next model is worth a try for an answer of `tier` that
  /// the largest one has no time to improve.
  [[nodiscard]] bool nextModelMayHelp(const RequestContext &request,
                                      std::size_t tier, int confidence,
                                      core::Millis now) const;

  const RunnerSelection &Selection;
  std::map<std::string, route::NextModelRecord> NextModels; ///< by route
};

} // namespace cowslipridge::gateway
