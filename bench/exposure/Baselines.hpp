#pragma once

#include "exposure/RunResult.hpp"
#include "exposure/Workload.hpp"

namespace cowslipridge::exposure {

/// Runs the trial version with a tenth of the requests for ten minutes, then
/// compares the mean grades once and either cuts it off or gives it all
/// requests.
RunResult runFixedShare(const Scenario &scenario, std::uint64_t seed);

/// Runs the trial version with a tenth of the requests until an operator cuts
/// off a bad version, five minutes after it became bad.
RunResult runOperatorCutOff(const Scenario &scenario, std::uint64_t seed);

} // namespace cowslipridge::exposure
