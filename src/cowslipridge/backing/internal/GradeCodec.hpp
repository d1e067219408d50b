#pragma once

#include "cowslipridge/backing/Ratings.hpp"
#include "cowslipridge/core/Result.hpp"

#include <string_view>
#include <vector>

namespace cowslipridge::backing::internal {

/// Parses a CloudEvents batch. Skips events of other types and scores outside
/// 0..1.
core::Result<std::vector<Grade>> parseGrades(std::string_view body);

} // namespace cowslipridge::backing::internal
