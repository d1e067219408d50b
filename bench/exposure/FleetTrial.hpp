#pragma once

#include "cowslipridge/rollout/ExposureGuard.hpp"
#include "exposure/RunResult.hpp"
#include "exposure/Workload.hpp"

namespace cowslipridge::exposure {

/// Parameters of the simulated sidecars and their messages.
struct FleetShape {
  unsigned TrialSidecars = 4;
  unsigned OldSidecars = 4;
  core::Millis GossipInterval{500};
  core::Millis GossipDelay{100};
  /// Time until a step or cut-off is applied everywhere.
  core::Millis RecordDelay{200};
  core::Millis Length = RunLength;
};

/// Simulates one run with the production ExposureGuards of several sidecars.
RunResult runFleet(const Scenario &scenario, std::uint64_t seed,
                   const FleetShape &shape);

} // namespace cowslipridge::exposure
