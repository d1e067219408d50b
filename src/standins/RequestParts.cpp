#include "standins/RequestParts.hpp"

#include "cowslipridge/http/Message.hpp"

#include <charconv>

namespace cowslipridge::standins {

std::string decodePath(std::string_view path) {
  // Query parameters use the same encoding, except that `+` is a space and `&`
  // separates parameters.
  std::string query = "p=";
  for (const char c : path) {
    if (c == '+')
      query += "%2B";
    else if (c == '&')
      query += "%26";
    else
      query += c;
  }
  return http::findQueryParameter(query, "p").value_or("");
}

std::optional<std::uint64_t> findNumber(std::string_view query,
                                        std::string_view name) {
  const auto text = http::findQueryParameter(query, name);
  if (!text)
    return std::nullopt;
  std::uint64_t value = 0;
  const char *end = text->data() + text->size();
  const auto [last, ec] = std::from_chars(text->data(), end, value);
  if (ec != std::errc() || last != end)
    return std::nullopt;
  return value;
}

std::optional<core::Millis> parseDuration(std::string_view text) {
  std::int64_t value = 0;
  const auto [last, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || value < 0)
    return std::nullopt;
  const std::string_view unit =
      text.substr(static_cast<std::size_t>(last - text.data()));
  if (unit == "ms")
    return core::Millis(value);
  if (unit == "s")
    return core::Millis(value * 1000);
  if (unit == "m")
    return core::Millis(value * 60'000);
  return std::nullopt;
}

std::optional<core::Millis> findDuration(std::string_view query,
                                         std::string_view name) {
  const auto text = http::findQueryParameter(query, name);
  return text ? parseDuration(*text) : std::nullopt;
}

} // namespace cowslipridge::standins
