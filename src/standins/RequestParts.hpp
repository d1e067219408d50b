#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::standins {

/// Decodes percent-encoding in a path, where `+` is a literal plus sign.
std::string decodePath(std::string_view path);

/// Returns an unsigned integer parameter of a query string.
std::optional<std::uint64_t> findNumber(std::string_view query,
                                        std::string_view name);

/// Parses a duration such as `10s`, `250ms` or `1m`.
std::optional<core::Millis> parseDuration(std::string_view text);
std::optional<core::Millis> findDuration(std::string_view query,
                                         std::string_view name);

} // namespace cowslipridge::standins
