#pragma once

#include "exposure/RunResult.hpp"
#include "exposure/Workload.hpp"

namespace cowslipridge::exposure {

/// Runs a sequential test in one place that receives each grade immediately and
/// in order, and bets against the trial version with each score. Shows what
/// such a test needs at the same error rates when no grade is late, lost or
/// distributed over several machines.
RunResult runReference(const Scenario &scenario, std::uint64_t seed);

} // namespace cowslipridge::exposure
