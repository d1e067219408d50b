#include "latency_routing/Policies.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <algorithm>

namespace cowslipridge::bench::latency {

namespace {

using Views = std::vector<route::RunnerView>;

std::size_t pickLeastLoaded(LeastInFlight &policy, const Views &views) {
  const auto load = [](const route::RunnerView &view) {
    return view.InFlight + view.Queued + view.SentSinceReport;
  };
  std::vector<std::size_t> best;
  for (std::size_t n = 0; n < views.size(); ++n) {
    if (!best.empty() && load(views[n]) > load(views[best.front()]))
      continue;
    if (!best.empty() && load(views[n]) < load(views[best.front()]))
      best.clear();
    best.push_back(n);
  }
  return best[core::uniformIndex(policy.Generator, best.size())];
}

std::size_t pickByHash(const route::RequestContext &request,
                       const Views &views) {
  // The last block is the caller's own question; all blocks before it may be
  // shared with other prompts.
  const std::uint64_t key =
      request.PrefixHashes[request.PrefixHashes.size() - 2];
  const auto rank = [key](std::size_t n) {
    return std::hash<std::string>()(std::to_string(key) + "/" +
                                    std::to_string(n));
  };
  std::size_t best = 0;
  for (std::size_t n = 1; n < views.size(); ++n) {
    if (rank(n) > rank(best))
      best = n;
  }
  return best;
}

} // namespace

std::vector<std::string> policyNames() {
  return {"round-robin", "least-in-flight", "prefix-hash", "chooser"};
}

Policy makePolicy(std::size_t which, std::uint64_t seed) {
  switch (which) {
  case 0:
    return RoundRobin{seed};
  case 1:
    return LeastInFlight{core::Random(seed)};
  case 2:
    return PrefixHash{};
  default:
    return Chooser{std::make_shared<route::RunnerChooser>(seed)};
  }
}

std::size_t pickRunner(Policy &policy, const route::RequestContext &request,
                       const Views &views, core::Millis now) {
  return std::visit(
      core::Overloaded{
          [&](RoundRobin &state) { return state.Next++ % views.size(); },
          [&](LeastInFlight &state) { return pickLeastLoaded(state, views); },
          [&](PrefixHash &) { return pickByHash(request, views); },
          [&](Chooser &state) {
            return FakeFleet::indexOf(*state.Implementation->choose(
                request, FakeFleet::version(), views, {}, now));
          }},
      policy);
}

} // namespace cowslipridge::bench::latency
