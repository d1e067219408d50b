#include "cowslipridge/http1/internal/FieldSyntax.hpp"

#include <algorithm>

namespace cowslipridge::http1::internal {

namespace {

bool isLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool isTokenByte(char c) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return isLetterOrDigit(c) || Others.find(c) != std::string_view::npos;
}

// Whether a char is signed depends on the processor.
bool isControlByte(unsigned char c) {
  constexpr unsigned char Delete = 0x7f;
  return c < ' ' || c == Delete;
}

} // namespace

bool isToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, isTokenByte);
}

bool isFieldValue(std::string_view text) {
  return std::ranges::none_of(
      text, [](unsigned char c) { return isControlByte(c) && c != '\t'; });
}

bool ContinuedLines::contains(std::string_view bytes) {
  for (const char it : bytes) {
    Found = Found || (AtLineBegin && (it == ' ' || it == '\t'));
    AtLineBegin = it == '\n';
  }
  return Found;
}

} // namespace cowslipridge::http1::internal
