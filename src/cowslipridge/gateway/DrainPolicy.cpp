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
/// Time before the exit in which final answers are written.
constexpr core::Millis FinalAnswerTime{200};
/// A shorter grace period leaves this part of itself as the margin.
constexpr std::int64_t MinMarginDivisor = 4;

} // namespace

void DrainPolicy::begin(core::Millis now) {
  if (!BeganAt)
    BeganAt = now;
}

core::Millis DrainPolicy::exitDelay() const {
  return GracePeriod - std::min(StopMargin, GracePeriod / MinMarginDivisor);
}

core::Millis DrainPolicy::end() const { return *BeganAt + exitDelay(); }

core::Millis DrainPolicy::requestsEnd() const {
  return end() - std::min(FinalAnswerTime, exitDelay() / MinMarginDivisor);
}

core::Millis DrainPolicy::atMost(core::Millis wanted) const {
  return std::min(wanted, exitDelay() * 2 / 3);
}

std::optional<core::Millis> DrainPolicy::exitsWithin(core::Millis now) const {
  if (!BeganAt)
    return std::nullopt;
  return std::max(core::Millis(), end() - now);
}

bool DrainPolicy::accepts(const RequestContext &context,
                          core::Millis now) const {
  if (!BeganAt || now - *BeganAt <= atMost(StreamAcceptancePeriod))
    return true;
  return !catalogue::isStream(context.Route->Kind) &&
         context.Deadline <= requestsEnd();
}

bool DrainPolicy::closesIdle(core::Millis now) const {
  return BeganAt && now - *BeganAt >= atMost(BalancerReactionTime);
}

bool DrainPolicy::endsRequests(core::Millis now) const {
  return BeganAt && now >= requestsEnd();
}

bool DrainPolicy::isOver(std::size_t unfinished, core::Millis now) const {
  return closesIdle(now) && (unfinished == 0 || now >= end());
}

} // namespace cowslipridge::gateway
