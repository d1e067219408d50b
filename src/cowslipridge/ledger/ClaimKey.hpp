#pragma once

#include "cowslipridge/ledger/Records.hpp"

#include <string>

namespace cowslipridge::ledger {

/// The key that a non-idempotent call is claimed under: the caller's, or the
/// request's own id when the caller gave none. Entry and sidecar must agree on
/// it, because it decides the shard and so the owner.
IdempotencyKey claimKeyOf(const core::OrganisationId &organisation,
                          const core::ServiceId &service,
                          const std::string &given,
                          const core::RequestId &request);

} // namespace cowslipridge::ledger
