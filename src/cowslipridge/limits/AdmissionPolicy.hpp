#pragma once

#include "cowslipridge/limits/Capacity.hpp"
#include "cowslipridge/limits/WorkEstimate.hpp"

#include <compare>
#include <variant>

namespace cowslipridge::limits {

/// What the decision on one request depends on, besides the capacity.
struct AdmissionFacts {
  int Rank = 0; ///< 0 is the most urgent
  core::Millis ArrivedAt;
  core::Millis Target; ///< from the arrival to the first token
  /// The shortest target of the service's routes. All requests of a service
  /// meet scarcity at the same wait: otherwise a request that counts as not
  /// scarce keeps its plain rank, and overtakes more urgent ones.
  core::Millis ShortestTarget;
  core::Millis Deadline; ///< monotonic
  WorkEstimate Work;
  bool Returned = false;  ///< rejected before, or a runner has worked on it
  bool OverShare = false; ///< its organisation is over its share
  /// Its kind, or its organisation, is served much less often than all.
  bool RarelyServed = false;
  /// Prompts of its size are served much less often than its kind.
  bool SizeRarelyServed = false;
  unsigned MoreUrgentWaiting =
      0; ///< more urgent requests without a first token
};

/// The request is sent at once.
struct SendNow {
  int EnginePriority = 0; ///< 0 to 9, 0 first
  friend auto operator<=>(const SendNow &, const SendNow &) = default;
};

/// Order in which held requests are released.
struct ReleaseOrder {
  int Rank = 0;
  core::Millis LatestStart; ///< at which the target can still be met
  friend auto operator<=>(const ReleaseOrder &, const ReleaseOrder &) = default;
};

/// The request is held; it is decided again at `Until` at the latest.
struct HoldUntil {
  core::Millis Until;
  ReleaseOrder Place;
  friend auto operator<=>(const HoldUntil &, const HoldUntil &) = default;
};

/// The request can't be answered in time.
struct RejectNow {
  core::Millis RetryAfter; ///< until the work ahead of it has shrunk enough
  friend auto operator<=>(const RejectNow &, const RejectNow &) = default;
};

using AdmissionDecision = std::variant<SendNow, HoldUntil, RejectNow>;

/// Decides which requests of a gateway are sent, held and rejected while the
/// runners of a service have too little capacity.
class AdmissionPolicy {
public:
  /// Returns whether requests of the service wait so long for each other that
  /// their order matters.
  [[nodiscard]] static bool isScarce(const AdmissionFacts &facts,
                                     const Capacity &capacity);
  /// A request is held at most until half of its target has passed, so that
  /// repeated decisions end.
  [[nodiscard]] static AdmissionDecision decide(const AdmissionFacts &facts,
                                                const Capacity &capacity,
                                                core::Millis now);
};

} // namespace cowslipridge::limits
