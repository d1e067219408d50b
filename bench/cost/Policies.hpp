#pragma once

#include "cost/Workload.hpp"

#include <memory>
#include <string>
#include <vector>

namespace cowslipridge::bench::cost {

/// What a policy that holds every window keeps over the target.
inline constexpr double WindowMargin = 0.018;

/// What a policy's choice led to.
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
/// Knows each request's grade of each version beforehand, and holds each
/// organisation's mean over the whole run at its target.
std::vector<Served> serveOracle(const Shape &shape,
                                const std::vector<Request> &requests,
                                std::uint64_t seed);
/// The oracle with its targets raised by `WindowMargin`, so that windows of 500
/// requests seldom fall below the target.
std::vector<Served> serveOracleWithMargin(const Shape &shape,
                                          const std::vector<Request> &requests,
                                          std::uint64_t seed);
/// Knows beforehand, for each request class, the mean cost and grade of each
/// plan that the planner can make, but not the single requests; holds the
/// target raised by `WindowMargin`.
std::vector<Served> serveBestFixedPlans(const Shape &shape,
                                        const std::vector<Request> &requests,
                                        std::uint64_t seed);
/// The project's planner, with grades 5 s late and a third of them missing.
std::vector<Served> servePlanner(const Shape &shape,
                                 const std::vector<Request> &requests,
                                 std::uint64_t seed);

} // namespace cowslipridge::bench::cost
