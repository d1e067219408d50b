#pragma once

#include "exposure/RunResult.hpp"
#include "exposure/Workload.hpp"

namespace cowslipridge::exposure {

/// One machine that sees each grade at once, one after another, and bets
/// against the trial version with each single score: what a sequential test
/// needs at the same error rates when nothing is late, lost or spread out.
RunResult runReference(const Scenario &scenario, std::uint64_t seed);

} // namespace cowslipridge::exposure
