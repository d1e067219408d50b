#pragma once

#include <string_view>

namespace cowslipridge::config::internal {

/// Returns whether `text` is a valid name of a service, version, organisation
/// or instance: at most 63 letters, digits, `.`, `_`, `@` and `-`, the first a
/// letter or digit.
bool isName(std::string_view text);

/// Suggestion for findings about an invalid name.
inline constexpr std::string_view NameRule =
    "at most 63 letters, digits, '.', '_', '@' and '-'";

} // namespace cowslipridge::config::internal
