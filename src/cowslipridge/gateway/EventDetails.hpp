#pragma once

#include "cowslipridge/catalogue/Catalogue.hpp"
#include "cowslipridge/gateway/CrashWatch.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/gateway/RequestStateMachine.hpp"
#include "cowslipridge/http1/Client.hpp"
#include "cowslipridge/limits/Ejections.hpp"
#include "cowslipridge/membership/BackendServer.hpp"
#include "cowslipridge/rollout/RolloutCommand.hpp"

#include <cstdint>
#include <string>

/// Formats typed values for a gateway's log lines, as `name=value` pairs.
namespace cowslipridge::gateway {

std::string describe(const membership::BackendServer &server);
/// Describes a configuration that takes effect; `before` is null for the first
/// one. Keys are secrets: only their number is logged.
std::string describe(const catalogue::Catalogue &declared,
                     const catalogue::Catalogue *before);
std::string describe(const limits::EjectionChange &change,
                     AttemptOutcome outcome);
std::string describe(const RunnerNotice &notice);
std::string describe(const QuarantineStart &start);
std::string describe(const LowConfidenceAnswer &answer);
std::string describe(const http1::CallProgress &call);
/// Returns the ids of the prompt's segments that other requests may share, in
/// hexadecimal; empty if there are none.
std::string describeSharedSegments(const CallerRequest &caller);
/// Returns the factor with two decimals.
std::string formatFactor(double factor);
/// Returns the digest or id in hexadecimal.
std::string formatHex(std::uint64_t number);
std::string describe(const rollout::RolloutCommand &order);
std::string describe(const rollout::RolloutStatus &status);
std::string describe(const rollout::RolloutProgress &progress);

} // namespace cowslipridge::gateway
