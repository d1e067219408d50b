#include "cowslipridge/http/internal/FieldFilter.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>

namespace cowslipridge::http::internal {

bool isConnectionField(std::string_view name) {
  static constexpr std::array<std::string_view, 10> ConnectionFields = {
      "connection", "content-length",    "expect", "host",
      "keep-alive", "proxy-connection",  "te",     "trailer",
      "upgrade",    "transfer-encoding",
  };
  std::string lower(name);
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return std::find(ConnectionFields.begin(), ConnectionFields.end(), lower) !=
         ConnectionFields.end();
}

bool isWritable(const Header &field) {
  static constexpr std::string_view Forbidden("\r\n\0", 3);
  return !field.Name.empty() &&
         field.Name.find_first_of(": \t") == std::string::npos &&
         field.Name.find_first_of(Forbidden) == std::string::npos &&
         field.Value.find_first_of(Forbidden) == std::string::npos;
}

} // namespace cowslipridge::http::internal
