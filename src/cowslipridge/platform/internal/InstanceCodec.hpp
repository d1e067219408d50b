#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/platform/InstanceList.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::platform::internal {

/// The registration body of one daemon.
std::string writeRegistration(const InstanceRecord &record);

/// Reads the list of registered daemons. An entry that cannot be read is left
/// out, so that one bad registration hides no other daemon.
core::Result<std::vector<InstanceRecord>> parseHealth(std::string_view body);

} // namespace cowslipridge::platform::internal
