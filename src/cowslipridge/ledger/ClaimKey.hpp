#pragma once

#include "cowslipridge/ledger/Records.hpp"

#include <string>

namespace cowslipridge::ledger {

/// Returns the key under which a non-idempotent call is claimed: the caller's
/// key, or the request id if the caller sent none. Entry and sidecar must use
/// the same key because it determines the shard and thus the owner.
IdempotencyKey claimKeyOf(const core::OrganisationId &organisation,
                          const core::ServiceId &service,
                          const std::string &given,
                          const core::RequestId &request);

} // namespace cowslipridge::ledger
