#pragma once

#include "cowslipridge/rollout/ExposureGuard.hpp"
#include "exposure/RunResult.hpp"
#include "exposure/Workload.hpp"

namespace cowslipridge::exposure {

struct FleetShape {
  unsigned TrialSidecars = 4;
  unsigned OldSidecars = 4;
  core::Millis GossipInterval{500};
  core::Millis GossipDelay{100};
  core::Millis RecordDelay{200}; ///< until all know a step or a cut-off
  core::Millis Length = RunLength;
};

/// Plays one run with the real ExposureGuards of several sidecars.
RunResult runFleet(const Scenario &scenario, std::uint64_t seed,
                   const FleetShape &shape);

} // namespace cowslipridge::exposure
