#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::session {

/// The URL-safe base64 of RFC 4648 without padding.
std::string encodeBase64Url(std::string_view bytes);

/// The bytes, or nothing when `text` is not the one canonical encoding.
std::optional<std::string> decodeBase64Url(std::string_view text);

} // namespace cowslipridge::session
