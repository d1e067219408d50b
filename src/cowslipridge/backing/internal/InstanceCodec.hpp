#pragma once

#include "cowslipridge/backing/InstanceList.hpp"
#include "cowslipridge/core/Result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::backing::internal {

/// Returns the registration body of one instance.
std::string writeRegistration(const InstanceRecord &record);

/// Parses the list of registered instances. Skips entries that cannot be
/// parsed, so that one invalid registration does not hide other instances.
core::Result<std::vector<InstanceRecord>> parseHealth(std::string_view body);

} // namespace cowslipridge::backing::internal
