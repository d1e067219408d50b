#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::session {

/// Returns the URL-safe base64 encoding of RFC 4648, without padding.
std::string encodeBase64Url(std::string_view bytes);

/// Returns the decoded bytes, or nothing when `text` is not their canonical
/// encoding.
std::optional<std::string> decodeBase64Url(std::string_view text);

} // namespace cowslipridge::session
