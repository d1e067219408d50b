#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::standins {

/// Undoes percent-encoding in a path; a `+` stands for itself there.
std::string decodePath(std::string_view path);

/// A whole number from a query string.
std::optional<std::uint64_t> findNumber(std::string_view query,
                                        std::string_view name);

/// A length of time such as `10s` or `250ms`.
std::optional<core::Millis> parseDuration(std::string_view text);
std::optional<core::Millis> findDuration(std::string_view query,
                                         std::string_view name);

} // namespace cowslipridge::standins
