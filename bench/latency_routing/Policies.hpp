#pragma once

#include "cowslipridge/route/RunnerChooser.hpp"
#include "support/FakeFleet.hpp"

#include <variant>

namespace cowslipridge::bench::latency {

/// Cycles through the runners.
struct RoundRobin {
  std::size_t Next = 0;
};

/// Chooses the runner with the fewest in-flight calls in the entry's view;
/// random among ties.
struct LeastInFlight {
  core::Random Generator;
};

/// Chooses the runner by rendezvous hashing of the prompt's shared prefix.
struct PrefixHash {};

/// Chooses the runner with route::RunnerChooser.
struct Chooser {
  std::shared_ptr<route::RunnerChooser> Implementation;
};

using Policy = std::variant<RoundRobin, LeastInFlight, PrefixHash, Chooser>;

std::vector<std::string> policyNames();
/// Creates the policy of one entry. `which` is an index into policyNames().
Policy makePolicy(std::size_t which, std::uint64_t seed);
/// Returns the index of the runner for a request.
std::size_t pickRunner(Policy &policy, const route::RequestContext &request,
                       const std::vector<route::RunnerView> &views,
                       core::Millis now);

} // namespace cowslipridge::bench::latency
