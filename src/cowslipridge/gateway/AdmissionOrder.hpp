#pragma once

#include "cowslipridge/catalogue/CatalogueIndex.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/limits/AdmissionPolicy.hpp"
#include "cowslipridge/limits/OrganisationShares.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace cowslipridge::gateway {

/// An attempt that is about to be sent, as far as its order depends on it.
struct OrderedAttempt {
  AttemptKind Kind = AttemptKind::First;
  core::Millis FirstToken; ///< forecast at the chosen runner
  core::Millis Waiting;    ///< part of FirstToken due to other requests
  core::Millis LoadAge;    ///< of the oldest peer load report in use
};

/// Chooses the engine's priority of requests under scarcity, from what this
/// gateway has sent.
class AdmissionOrder {
public:
  /// Returns the priority, 0 to 9, and records the attempt.
  int onSent(std::uint64_t ticket, const RequestContext &request,
             const OrderedAttempt &attempt, core::Millis now);
  /// The attempt got its first token, or ended.
  void onAnsweredOrEnded(std::uint64_t ticket);
  void tick(core::Millis now);

private:
  using WorkByPriority = std::array<double, limits::WorkEstimate::Priorities>;
  struct Waiting {
    core::ServiceId Service;
    std::size_t Priority = 0;
    double WorkMillis = 0;
  };
  struct ServiceState {
    WorkByPriority Pending{}; ///< without a first token, of this gateway
    limits::OrganisationShares Shares;
  };

  /// Returns the shortest target of the routes to the service.
  core::Millis shortestTarget(const RequestContext &request,
                              const core::ServiceId &service);

  std::map<core::ServiceId, ServiceState> Services;
  std::unordered_map<std::uint64_t, Waiting> Attempts;
  catalogue::CataloguePtr Known; ///< to which the targets belong
  std::map<core::ServiceId, core::Millis> ShortestTargets;
};

} // namespace cowslipridge::gateway
