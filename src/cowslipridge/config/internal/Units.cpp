#include "cowslipridge/config/internal/Units.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace cowslipridge::config::internal {

namespace {

struct Unit {
  std::string_view Suffix;
  std::uint64_t Factor;
};

constexpr std::array DurationUnits = {
    Unit{"ms", 1},
    Unit{"s", 1'000},
    Unit{"min", 60'000},
    Unit{"h", 3'600'000},
};

/// Longest duration that may be written as a fraction, in milliseconds; doubles
/// represent whole numbers exactly far beyond it.
constexpr double MaxFractionalMillis = 1e12;

constexpr std::array SizeUnits = {
    Unit{"B", 1},
    Unit{"KiB", 1'024},
    Unit{"MiB", 1'024UL * 1'024},
    Unit{"GiB", 1'024UL * 1'024 * 1'024},
};

template <typename Units>
std::optional<std::uint64_t> parseWithUnit(std::string_view text,
                                           const Units &units) {
  const std::size_t split = text.find_first_not_of("0123456789");
  if (split == std::string_view::npos)
    return std::nullopt;
  const auto count = parseCount(text.substr(0, split));
  const std::string_view suffix = text.substr(split);
  const auto *unit =
      std::find_if(units.begin(), units.end(),
                   [&](const Unit &x) { return x.Suffix == suffix; });
  if (!count || unit == units.end())
    return std::nullopt;
  constexpr auto Highest =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (*count > Highest / unit->Factor)
    return std::nullopt;
  return *count * unit->Factor;
}

// Parses a fraction such as `8.5s` that is a whole number of milliseconds.
std::optional<core::Millis> parseFraction(std::string_view text) {
  const std::size_t split = text.find_first_not_of("0123456789.");
  if (split == std::string_view::npos)
    return std::nullopt;
  const auto number = parseDecimal(text.substr(0, split));
  const auto *unit = std::find_if(
      DurationUnits.begin(), DurationUnits.end(),
      [&](const Unit &x) { return x.Suffix == text.substr(split); });
  if (!number || *number < 0 || unit == DurationUnits.end())
    return std::nullopt;
  const double millis = *number * static_cast<double>(unit->Factor);
  if (millis > MaxFractionalMillis ||
      std::abs(millis - std::round(millis)) > 1e-6)
    return std::nullopt;
  return core::Millis(std::llround(millis));
}

} // namespace

std::optional<core::Millis> parseDuration(std::string_view text) {
  const auto count = parseWithUnit(text, DurationUnits);
  if (!count)
    return parseFraction(text);
  return core::Millis(static_cast<std::int64_t>(*count));
}

std::optional<std::uint64_t> parseSize(std::string_view text) {
  return parseWithUnit(text, SizeUnits);
}

std::optional<std::uint64_t> parseCount(std::string_view text) {
  std::uint64_t count = 0;
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, count);
  if (ec != std::errc() || stop != end)
    return std::nullopt;
  return count;
}

std::optional<double> parseDecimal(std::string_view text) {
  double number = 0;
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || stop != end || !std::isfinite(number))
    return std::nullopt;
  return number;
}

bool isLowerHex(std::string_view text, std::size_t digits) {
  return text.size() == digits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isHttpUrl(std::string_view text) {
  constexpr std::string_view Scheme = "http://";
  constexpr std::uint64_t MaxPort = 65'535;
  if (!text.starts_with(Scheme))
    return false;
  text.remove_prefix(Scheme.size());
  const std::string_view authority = text.substr(0, text.find('/'));
  const std::size_t colon = authority.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return false;
  const auto port = parseCount(authority.substr(colon + 1));
  return port && *port > 0 && *port <= MaxPort &&
         text.find(' ') == std::string_view::npos;
}

} // namespace cowslipridge::config::internal
