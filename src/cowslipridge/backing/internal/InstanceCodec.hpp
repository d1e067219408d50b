#pragma once

#include "cowslipridge/backing/InstanceList.hpp"
#include "cowslipridge/core/Result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::backing::internal {

/// The registration body of one daemon.
std::string writeRegistration(const InstanceRecord &record);

/// Reads the list of registered daemons. An entry that cannot be read is left
/// out, so that one bad registration hides no other daemon.
core::Result<std::vector<InstanceRecord>> parseHealth(std::string_view body);

} // namespace cowslipridge::backing::internal
