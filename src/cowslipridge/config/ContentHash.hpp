#pragma once

#include <string>
#include <string_view>

namespace cowslipridge::config {

/// Returns the SHA-256 of `content` in lower-case hexadecimal, which is the
/// name of an immutable content.
std::string contentHash(std::string_view content);

} // namespace cowslipridge::config
