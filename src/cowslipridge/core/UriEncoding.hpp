#pragma once

#include <string>
#include <string_view>

namespace cowslipridge::core {

/// Escapes a path for a request target; slashes stay.
std::string encodePath(std::string_view path);
/// Escapes a query value or a single path segment; slashes are escaped too.
std::string encodeComponent(std::string_view text);

} // namespace cowslipridge::core
