#pragma once

#include <string>
#include <string_view>

namespace cowslipridge::config {

/// SHA-256 of `content` in lower-case hexadecimal; names immutable content.
std::string contentHash(std::string_view content);

} // namespace cowslipridge::config
