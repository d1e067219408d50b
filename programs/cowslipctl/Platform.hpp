#pragma once

#include "cowslipridge/backing/InstanceList.hpp"
#include "cowslipridge/backing/Store.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace cowslipridge::ctl {

/// Returns the store at the address in --store. Prints an error and returns
/// null if the flag is missing.
std::shared_ptr<backing::Store> openStore();

/// Fetches all instances from the instance list at the address in --instances.
/// Prints an error and returns nullopt if the flag is missing or the list does
/// not respond.
std::optional<std::vector<backing::InstanceRecord>> fetchInstances();

} // namespace cowslipridge::ctl
