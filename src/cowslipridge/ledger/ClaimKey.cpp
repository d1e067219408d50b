#include "cowslipridge/ledger/ClaimKey.hpp"

namespace cowslipridge::ledger {

IdempotencyKey claimKeyOf(const core::OrganisationId &organisation,
                          const core::ServiceId &service,
                          const std::string &given,
                          const core::RequestId &request) {
  return {organisation, service, given.empty() ? request.str() : given};
}

} // namespace cowslipridge::ledger
