#pragma once

#include <string>
#include <string_view>

namespace cowslipridge::core {

/// Percent-encodes a path for a request target, except for its slashes.
std::string encodePath(std::string_view path);
/// Percent-encodes a query value or a single path segment, slashes included.
std::string encodeComponent(std::string_view text);

} // namespace cowslipridge::core
