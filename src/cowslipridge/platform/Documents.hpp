#pragma once

#include "cowslipridge/catalogue/Catalogue.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/membership/BackendServer.hpp"
#include "cowslipridge/rollout/RolloutCommand.hpp"

#include <string>
#include <string_view>

/// Translates between the platform's wire formats and the project's types. Only
/// this folder uses the platform's names.
namespace cowslipridge::platform {

/// Parses the operators' configuration. Malformed routes, services and
/// organisations are left out and counted in `problems`.
core::Result<catalogue::Catalogue> parseCatalogue(const std::string &text,
                                                  std::string &problems);

/// Parses the entry that a runner writes for itself. Returns Errc::Malformed
/// unless the entry describes a usable runner.
core::Result<membership::BackendServer>
parseBackendServer(std::string_view id, const std::string &text);

core::Result<rollout::RolloutCommand>
parseRolloutOrder(const std::string &text);
core::Result<rollout::RolloutStatus>
parseRolloutStatus(std::string_view service, const std::string &text);
std::string writeRolloutStatus(const rollout::RolloutStatus &status);

} // namespace cowslipridge::platform
