#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/core/Result.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace cowslipridge::backing::internal {

/// Parses the JSON array of a read response. Returns the entries in key order.
core::Result<std::vector<StoreEntry>> parseEntries(std::string_view body);

/// Parses the response to a conditional write: `true` or `false`.
std::optional<bool> parseDecision(std::string_view body);

} // namespace cowslipridge::backing::internal
