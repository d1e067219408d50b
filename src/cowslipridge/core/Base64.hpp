#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::core {

/// Encodes `bytes` as padded base64.
std::string encodeBase64(std::string_view bytes);
/// Decodes padded base64; returns nullopt when `text` is malformed.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace cowslipridge::core
