#include "cowslipridge/http1/internal/FieldSyntax.hpp"

#include <algorithm>

namespace cowslipridge::http1::internal {

namespace {

bool isLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool isBlank(char c) { return c == ' ' || c == '\t'; }

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

std::string_view withoutBlanks(std::string_view text) {
  constexpr std::string_view Blanks = " \t";
  text.remove_prefix(std::min(text.find_first_not_of(Blanks), text.size()));
  return text.substr(0, text.find_last_not_of(Blanks) + 1);
}

HiddenFields::Part HiddenFields::partBehind(Part part, char byte) {
  if (byte == '\n')
    return Part::LineBegin;
  switch (part) {
  case Part::LineBegin:
    return isBlank(byte) ? Part::Blanks : Part::Rest;
  case Part::Blanks:
    if (isBlank(byte))
      return Part::Blanks;
    return isTokenByte(byte) ? Part::Name : Part::Rest;
  case Part::Name:
    if (isTokenByte(byte))
      return Part::Name;
    return isBlank(byte) ? Part::BlanksBehindName : Part::Rest;
  case Part::BlanksBehindName:
    return isBlank(byte) ? Part::BlanksBehindName : Part::Rest;
  case Part::Rest:
    break;
  }
  return Part::Rest;
}

bool HiddenFields::areIn(std::string_view bytes) {
  for (const char it : bytes) {
    const bool isBehindName =
        Current == Part::Name || Current == Part::BlanksBehindName;
    Found = Found || (isBehindName && it == ':');
    Current = partBehind(Current, it);
  }
  return Found;
}

} // namespace cowslipridge::http1::internal
