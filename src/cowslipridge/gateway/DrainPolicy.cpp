#include "cowslipridge/gateway/DrainPolicy.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Until the balancer sends no new connections.
constexpr core::Millis BalancerNotices{2'500};
/// Streams that begin later might be cut though their runners were quick.
constexpr core::Millis StreamsTakenFor{2'900};
/// Before the process is killed, for open answers to be broken off in order.
constexpr core::Millis StopMargin{500};

} // namespace

void DrainPolicy::begin(core::Millis now) {
  if (!Began)
    Began = now;
}

core::Millis DrainPolicy::end() const {
  return *Began + GracePeriod - StopMargin;
}

std::optional<core::Millis> DrainPolicy::endsIn(core::Millis now) const {
  if (!Began)
    return std::nullopt;
  return std::max(core::Millis(), end() - now);
}

bool DrainPolicy::takes(const RequestContext &facts, core::Millis now) const {
  if (!Began || now - *Began <= StreamsTakenFor)
    return true;
  return !catalogue::isStream(facts.Route->Kind) && facts.Deadline <= end();
}

bool DrainPolicy::closesIdle(core::Millis now) const {
  return Began && now - *Began >= BalancerNotices;
}

bool DrainPolicy::isOver(std::size_t inFlight, core::Millis now) const {
  return closesIdle(now) && (inFlight == 0 || now >= end());
}

} // namespace cowslipridge::gateway
