#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/core/Result.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace cowslipridge::backing::internal {

/// Reads the JSON array that the key-value service answers, in key order.
core::Result<std::vector<StoreEntry>> parseEntries(std::string_view body);

/// Reads the answer to a conditional write: `true` or `false`.
std::optional<bool> parseDecision(std::string_view body);

} // namespace cowslipridge::backing::internal
