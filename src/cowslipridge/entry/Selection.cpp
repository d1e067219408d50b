#include "cowslipridge/entry/Selection.hpp"

#include "cowslipridge/entry/Rendezvous.hpp"
#include "cowslipridge/ledger/ClaimKey.hpp"

#include <algorithm>

namespace cowslipridge::entry {

namespace {

using Runners = std::vector<core::RunnerId>;
using Views = std::vector<route::RunnerView>;

// Returns the owner of the call's key if it is known, reachable and not yet
// tried.
std::optional<core::RunnerId> findOwner(const EntryContext &context,
                                        const CallerRequest &request,
                                        const Views &views,
                                        const Runners &tried) {
  const auto owner =
      context.Owners.find(claimKey(request), request.service().Shards);
  if (!owner)
    return std::nullopt;
  const core::RunnerId runner = toRunner(*owner);
  const bool reachable =
      std::any_of(views.begin(), views.end(),
                  [&](const auto &x) { return x.Runner == runner; });
  const bool isUntried =
      std::find(tried.begin(), tried.end(), runner) == tried.end();
  return reachable && isUntried ? std::optional(runner) : std::nullopt;
}

} // namespace

ledger::IdempotencyKey claimKey(const CallerRequest &request) {
  return ledger::claimKeyOf(request.Organisation, request.Service,
                            request.IdempotencyKey, request.Request);
}

std::optional<core::InstanceId>
selectSidecar(EntryContext &context, const CallerRequest &request,
              const route::RequestContext &routing,
              const core::VersionId &version,
              const std::vector<core::RunnerId> &tried) {
  const Views views = context.Peers->views(request.Service);
  std::optional<core::RunnerId> runner;
  if (!request.Idempotent)
    runner = findOwner(context, request, views, tried);
  else if (!request.IdempotencyKey.empty())
    runner = chooseByKey(request.Request.str(), version, views, tried);
  if (!runner)
    runner =
        context.Runners.choose(routing, version, views, tried, context.now());
  return runner ? std::optional(toInstance(*runner)) : std::nullopt;
}

} // namespace cowslipridge::entry
