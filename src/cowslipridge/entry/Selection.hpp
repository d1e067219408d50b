#pragma once

#include "cowslipridge/entry/CallerRequest.hpp"
#include "cowslipridge/entry/EntryContext.hpp"

#include <optional>
#include <vector>

namespace cowslipridge::entry {

/// The name that a call which may run once is claimed under.
ledger::IdempotencyKey claimKey(const CallerRequest &request);

/// The sidecar for the next attempt; nothing when none can take it. Calls that
/// may run once go to the owner of their key; keyed model requests to where a
/// retry would find them; all others to the best runner.
std::optional<core::InstanceId>
selectSidecar(EntryContext &context, const CallerRequest &request,
              const route::RequestContext &facts,
              const core::VersionId &version,
              const std::vector<core::RunnerId> &tried);

} // namespace cowslipridge::entry
