#pragma once

#include "cowslipridge/catalogue/Catalogue.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/membership/BackendServer.hpp"
#include "cowslipridge/rollout/RolloutCommand.hpp"

#include <string>
#include <string_view>

/// Translates between the platform's wire formats and the project's types. No
/// other folder knows the platform's names.
namespace cowslipridge::platform {

/// The operators' configuration. Routes and services that can't be read are
/// left out and named in `problems`.
core::Result<catalogue::Catalogue> parseCatalogue(const std::string &text,
                                                  std::string &problems);

/// A runner's own entry. An entry that names no usable runner is an error.
core::Result<membership::BackendServer>
parseBackendServer(std::string_view id, const std::string &text);

core::Result<rollout::RolloutCommand>
parseRolloutOrder(const std::string &text);
core::Result<rollout::RolloutStatus>
parseRolloutStatus(std::string_view service, const std::string &text);
std::string writeRolloutStatus(const rollout::RolloutStatus &status);

} // namespace cowslipridge::platform
