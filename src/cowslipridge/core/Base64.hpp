#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::core {

std::string encodeBase64(std::string_view bytes);
/// Nothing when `text` is not padded base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace cowslipridge::core
