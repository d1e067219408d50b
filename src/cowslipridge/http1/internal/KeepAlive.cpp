#include "cowslipridge/http1/internal/KeepAlive.hpp"

#include <charconv>
#include <cstdint>
#include <string_view>

namespace cowslipridge::http1::internal {

namespace {

constexpr std::int64_t MillisPerSecond = 1000;

} // namespace

std::optional<core::Millis> keepAliveTimeout(const HeaderFields &fields) {
  constexpr std::string_view Key = "timeout=";
  const auto value = fields.find("Keep-Alive");
  const auto at = value ? value->find(Key) : std::string_view::npos;
  if (at == std::string_view::npos)
    return std::nullopt;
  const std::string_view digits = value->substr(at + Key.size());
  std::int64_t seconds = 0;
  const auto end =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (end.ec != std::errc())
    return std::nullopt;
  return core::Millis(seconds * MillisPerSecond);
}

} // namespace cowslipridge::http1::internal
