#pragma once

#include "cost/Workload.hpp"

#include <memory>
#include <string>
#include <vector>

namespace cowslipridge::bench::cost {

/// Margin above the quality target with which a policy keeps the mean of each
/// window at or above the target.
inline constexpr double WindowMargin = 0.018;

/// Cost and grade that result from a policy's choice for one request.
struct Served {
  double Cost = 0;
  double Grade = 0;
};

/// Serves every request of a workload, in order.
using Policy = std::vector<Served> (*)(const Shape &shape,
                                       const std::vector<Request> &requests,
                                       std::uint64_t seed);

std::vector<Served> serveAlwaysBest(const Shape &shape,
                                    const std::vector<Request> &requests,
                                    std::uint64_t seed);
std::vector<Served> serveAlwaysCheapest(const Shape &shape,
                                        const std::vector<Request> &requests,
                                        std::uint64_t seed);
std::vector<Served> serveRandomMix(const Shape &shape,
                                   const std::vector<Request> &requests,
                                   std::uint64_t seed);
/// Knows the grade of each version for each request in advance, and keeps each
/// organisation's mean over the complete run at its target.
std::vector<Served> serveOracle(const Shape &shape,
                                const std::vector<Request> &requests,
                                std::uint64_t seed);
/// Applies the oracle with its targets raised by `WindowMargin`, so that
/// windows of 500 requests rarely fall below the target.
std::vector<Served> serveOracleWithMargin(const Shape &shape,
                                          const std::vector<Request> &requests,
                                          std::uint64_t seed);
/// Knows in advance, for each request class, the mean cost and grade of each
/// plan that the planner can make, but not those of individual requests. Keeps
/// the target raised by `WindowMargin`.
std::vector<Served> serveBestFixedPlans(const Shape &shape,
                                        const std::vector<Request> &requests,
                                        std::uint64_t seed);
/// Runs route::Planner with grades that arrive 5 s late and a third of which
/// are missing.
std::vector<Served> servePlanner(const Shape &shape,
                                 const std::vector<Request> &requests,
                                 std::uint64_t seed);

} // namespace cowslipridge::bench::cost
