#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cowslipridge::config::internal {

/// Parses `250ms`, `8.5s`, `10min` or `2h`. Returns nothing for other text, or
/// when the value is not a whole number of milliseconds.
std::optional<core::Millis> parseDuration(std::string_view text);
/// Parses `512B`, `64KiB`, `8MiB` or `1GiB`. Returns nothing for other text.
std::optional<std::uint64_t> parseSize(std::string_view text);
/// Parses an unsigned whole number.
std::optional<std::uint64_t> parseCount(std::string_view text);
/// Parses a finite decimal number.
std::optional<double> parseDecimal(std::string_view text);
/// Returns whether `text` is lower-case hexadecimal of `digits` digits.
bool isLowerHex(std::string_view text, std::size_t digits);
/// Returns whether `text` is `http://HOST:PORT` with an optional path.
bool isHttpUrl(std::string_view text);

} // namespace cowslipridge::config::internal
