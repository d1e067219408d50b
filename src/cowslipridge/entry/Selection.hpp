#pragma once

#include "cowslipridge/entry/CallerRequest.hpp"
#include "cowslipridge/entry/EntryContext.hpp"

#include <optional>
#include <vector>

namespace cowslipridge::entry {

/// Returns the key under which a non-idempotent call is claimed.
ledger::IdempotencyKey claimKey(const CallerRequest &request);

/// Selects the sidecar for the next attempt; returns nothing if none is
/// available. Non-idempotent calls go to the owner of their key, keyed
/// idempotent requests to the runner that a retry would also choose, and all
/// others to the best runner.
std::optional<core::InstanceId>
selectSidecar(EntryContext &context, const CallerRequest &request,
              const route::RequestContext &routing,
              const core::VersionId &version,
              const std::vector<core::RunnerId> &tried);

} // namespace cowslipridge::entry
