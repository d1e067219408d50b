#include "cowslipridge/config/internal/Names.hpp"

#include <algorithm>

namespace cowslipridge::config::internal {

namespace {

constexpr std::size_t MaxNameLength = 63;

bool isAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool isNameCharacter(char c) {
  return isAlphanumeric(c) || c == '.' || c == '_' || c == '@' || c == '-';
}

} // namespace

bool isName(std::string_view text) {
  return !text.empty() && text.size() <= MaxNameLength &&
         isAlphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), isNameCharacter);
}

} // namespace cowslipridge::config::internal
