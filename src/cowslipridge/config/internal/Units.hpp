#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cowslipridge::config::internal {

/// `250ms`, `8.5s`, `10min`, `2h`; nothing when it is no such text, or no whole
/// number of milliseconds.
std::optional<core::Millis> parseDuration(std::string_view text);
/// `512B`, `64KiB`, `8MiB`, `1GiB`; nothing when it is no such text.
std::optional<std::uint64_t> parseSize(std::string_view text);
/// A whole number without sign.
std::optional<std::uint64_t> parseCount(std::string_view text);
/// A finite decimal number.
std::optional<double> parseDecimal(std::string_view text);
/// Whether `text` is lower-case hexadecimal of `digits` digits.
bool isLowerHex(std::string_view text, std::size_t digits);
/// Whether `text` is `http://HOST:PORT` with an optional path.
bool isHttpUrl(std::string_view text);

} // namespace cowslipridge::config::internal
