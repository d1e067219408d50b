#include "cowslipridge/gateway/RetryAfterEstimator.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// From the end of a process until the one that replaces it serves.
constexpr core::Millis RestartTime{600};
/// Until the balancer sends callers to a gateway that began to serve.
constexpr core::Millis BalancerAdmits{1'200};
/// Peers that say nothing for so long are forgotten.
constexpr core::Millis Memory{60'000};

} // namespace

void RetryAfterEstimator::note(const core::InstanceId &peer,
                               std::optional<core::Millis> endsIn,
                               core::Millis now) {
  const bool leaves = endsIn.has_value();
  const auto known = Peers.find(peer);
  const bool changed = known == Peers.end() || known->second.Leaves != leaves;
  const core::Millis since = changed ? now : known->second.Since;
  const core::Millis until =
      leaves ? now + *endsIn + RestartTime : now + ReportLifetime;
  Peers.insert_or_assign(peer, State{leaves, since, until});
  std::erase_if(Peers,
                [&](const auto &it) { return it.second.Until + Memory < now; });
}

core::Millis RetryAfterEstimator::retryAfter(core::Millis ownEndsIn,
                                             core::Millis now) const {
  core::Millis earliest = now + ownEndsIn + RestartTime + BalancerAdmits;
  for (const auto &[name, peer] : Peers) {
    if (!peer.Leaves && now <= peer.Until)
      earliest = std::min(earliest, peer.Since + BalancerAdmits);
    // One that is late may be gone for good, and says nothing any more.
    if (peer.Leaves && now <= peer.Until + RestartTime)
      earliest = std::min(earliest, peer.Until + BalancerAdmits);
  }
  return std::max(core::Millis(), earliest - now);
}

} // namespace cowslipridge::gateway
