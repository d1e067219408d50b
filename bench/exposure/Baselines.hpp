#pragma once

#include "exposure/RunResult.hpp"
#include "exposure/Workload.hpp"

namespace cowslipridge::exposure {

/// A tenth of the requests for ten minutes, then one comparison of means.
RunResult runFixedShare(const Scenario &scenario, std::uint64_t seed);

/// A tenth of the requests until an operator cuts a bad version off, five
/// minutes after it was bad.
RunResult runByHand(const Scenario &scenario, std::uint64_t seed);

} // namespace cowslipridge::exposure
