#pragma once

#include <string_view>

namespace cowslipridge::config::internal {

/// Whether `text` may name a service, version, organisation or instance: at
/// most 63 letters, digits, `.`, `_`, `@` and `-`, the first a letter or digit.
bool isName(std::string_view text);

/// What to write instead of a bad name.
inline constexpr std::string_view NameRule =
    "at most 63 letters, digits, '.', '_', '@' and '-'";

} // namespace cowslipridge::config::internal
