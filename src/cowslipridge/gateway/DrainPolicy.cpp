#include "cowslipridge/gateway/DrainPolicy.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Time until the load balancer sends no new connections.
constexpr core::Millis BalancerReactionTime{2'500};
/// Time for which new streams are accepted. Streams that begin later might be
/// cut off even if their runners were fast.
constexpr core::Millis StreamAcceptancePeriod{2'900};
/// Time before the process is killed, left to terminate open responses cleanly.
constexpr core::Millis StopMargin{500};

} // namespace

void DrainPolicy::begin(core::Millis now) {
  if (!BeganAt)
    BeganAt = now;
}

core::Millis DrainPolicy::end() const {
  return *BeganAt + GracePeriod - StopMargin;
}

std::optional<core::Millis> DrainPolicy::exitsWithin(core::Millis now) const {
  if (!BeganAt)
    return std::nullopt;
  return std::max(core::Millis(), end() - now);
}

bool DrainPolicy::accepts(const RequestContext &context,
                          core::Millis now) const {
  if (!BeganAt || now - *BeganAt <= StreamAcceptancePeriod)
    return true;
  return !catalogue::isStream(context.Route->Kind) && context.Deadline <= end();
}

bool DrainPolicy::closesIdle(core::Millis now) const {
  return BeganAt && now - *BeganAt >= BalancerReactionTime;
}

bool DrainPolicy::isOver(std::size_t unfinished, core::Millis now) const {
  return closesIdle(now) && (unfinished == 0 || now >= end());
}

} // namespace cowslipridge::gateway
