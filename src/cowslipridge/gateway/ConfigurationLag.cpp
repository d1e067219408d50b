#include "cowslipridge/gateway/ConfigurationLag.hpp"

namespace cowslipridge::gateway {

// The first missing generation determines the time, since later ones may follow
// faster than any of them arrives.
void ConfigurationLag::onReport(core::Generation peer, core::Generation own,
                                core::Millis now) {
  if (Awaited && own >= Awaited->Configuration)
    Awaited.reset();
  if (!Awaited && peer > own)
    Awaited = Missing{peer, now};
}

bool ConfigurationLag::isOverdue(core::Generation own, core::Millis now) const {
  return Awaited && own < Awaited->Configuration &&
         now - Awaited->Since >= PropagationTime;
}

} // namespace cowslipridge::gateway
