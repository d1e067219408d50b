#include "cowslipridge/core/UriEncoding.hpp"

namespace cowslipridge::core {

namespace {

constexpr std::string_view Unreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";

void appendEscaped(std::string &text, char c) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  const auto byte = static_cast<unsigned char>(c);
  text += '%';
  text += Digits[byte / 16];
  text += Digits[byte % 16];
}

std::string escape(std::string_view text, bool keepSlashes) {
  std::string escaped;
  escaped.reserve(text.size());
  for (const char c : text) {
    const bool plain = Unreserved.find(c) != std::string_view::npos;
    if (plain || (keepSlashes && c == '/'))
      escaped += c;
    else
      appendEscaped(escaped, c);
  }
  return escaped;
}

} // namespace

std::string encodePath(std::string_view path) { return escape(path, true); }

std::string encodeComponent(std::string_view text) {
  return escape(text, false);
}

} // namespace cowslipridge::core
