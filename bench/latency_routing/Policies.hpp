#pragma once

#include "cowslipridge/route/RunnerChooser.hpp"
#include "support/FakeFleet.hpp"

#include <variant>

namespace cowslipridge::bench::latency {

struct RoundRobin {
  std::size_t Next = 0;
};

/// The least in-flight calls that the entry knows of; ties at random.
struct LeastInFlight {
  core::Random Generator;
};

/// Rendezvous hashing of the shared part of the prompt.
struct PrefixHash {};

/// The project's chooser.
struct Chooser {
  std::shared_ptr<route::RunnerChooser> Tested;
};

using Policy = std::variant<RoundRobin, LeastInFlight, PrefixHash, Chooser>;

std::vector<std::string> policyNames();
/// The policy of one entry, by its place in policyNames().
Policy makePolicy(std::size_t which, std::uint64_t seed);
std::size_t pickRunner(Policy &policy, const route::RequestContext &facts,
                       const std::vector<route::RunnerView> &views,
                       core::Millis now);

} // namespace cowslipridge::bench::latency
