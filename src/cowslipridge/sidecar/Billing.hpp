#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/ledger/Records.hpp"
#include "cowslipridge/rpc/Messages.hpp"
#include "cowslipridge/runner/Runner.hpp"

namespace cowslipridge::sidecar {

/// Returns the cost of a run in millionths of the currency unit.
std::uint64_t costMicro(const config::VersionDeclaration &version,
                        const runner::Usage &usage);

/// Returns the bill of a request for one run.
ledger::Bill makeBill(const rpc::RunRequest &request,
                      const config::VersionDeclaration &version,
                      core::Outcome outcome, const runner::Usage &usage,
                      core::Millis wallTime);

} // namespace cowslipridge::sidecar
