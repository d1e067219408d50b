#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/platform/Ratings.hpp"

#include <string_view>
#include <vector>

namespace cowslipridge::platform::internal {

/// Reads a CloudEvents batch. Events of other types and scores outside 0..1
/// are left out.
core::Result<std::vector<Grade>> parseGrades(std::string_view body);

} // namespace cowslipridge::platform::internal
