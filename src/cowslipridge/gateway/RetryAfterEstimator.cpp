#include "cowslipridge/gateway/RetryAfterEstimator.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Time from the exit of a process until its replacement serves.
constexpr core::Millis RestartTime{600};
/// Time until the load balancer routes callers to a gateway that has become
/// ready.
constexpr core::Millis BalancerAdmissionDelay{1'200};
/// Time after which the record of a peer that no longer reports is erased.
constexpr core::Millis RecordRetention{60'000};

} // namespace

void RetryAfterEstimator::recordReport(const core::InstanceId &peer,
                                       std::optional<core::Millis> exitsWithin,
                                       core::Millis now) {
  const bool draining = exitsWithin.has_value();
  const auto known = Peers.find(peer);
  const bool changed =
      known == Peers.end() || known->second.Draining != draining;
  const core::Millis since = changed ? now : known->second.Since;
  const core::Millis until =
      draining ? now + *exitsWithin + RestartTime : now + ReportLifetime;
  Peers.insert_or_assign(peer, State{draining, since, until});
  std::erase_if(Peers, [&](const auto &it) {
    return it.second.Until + RecordRetention < now;
  });
}

core::Millis RetryAfterEstimator::retryAfter(core::Millis ownExitsWithin,
                                             core::Millis now) const {
  core::Millis earliest =
      now + ownExitsWithin + RestartTime + BalancerAdmissionDelay;
  for (const auto &[name, peer] : Peers) {
    if (!peer.Draining && now <= peer.Until)
      earliest = std::min(earliest, peer.Since + BalancerAdmissionDelay);
    // A restart that is overdue by more than RestartTime may never happen.
    if (peer.Draining && now <= peer.Until + RestartTime)
      earliest = std::min(earliest, peer.Until + BalancerAdmissionDelay);
  }
  return std::max(core::Millis(), earliest - now);
}

} // namespace cowslipridge::gateway
