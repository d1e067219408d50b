#include "standins/platform/ColdPhase.hpp"

#include <algorithm>

namespace cowslipridge::standins::platform {

namespace {

constexpr core::Millis Window{1'000};

} // namespace

void ColdPhase::start(const ColdTraits &traits, core::Millis now) {
  Traits = traits;
  EndsAt = now + traits.Time;
  Arrivals.clear();
}

core::Millis ColdPhase::remaining(core::Millis now) const {
  return std::max(core::Millis(), EndsAt - now);
}

bool ColdPhase::onRequest(core::Millis now) {
  if (remaining(now) == core::Millis())
    return true;
  while (!Arrivals.empty() && now - Arrivals.front() >= Window)
    Arrivals.pop_front();
  Arrivals.push_back(now);
  Most = std::max(Most, Arrivals.size());
  return Arrivals.size() <= Traits.bound();
}

} // namespace cowslipridge::standins::platform
