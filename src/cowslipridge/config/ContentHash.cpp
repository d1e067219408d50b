#include "cowslipridge/config/ContentHash.hpp"

#include <openssl/sha.h>

#include <array>

namespace cowslipridge::config {

std::string contentHash(std::string_view content) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char *>(content.data()),
         content.size(), digest.data());
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    text += Digits[byte >> 4U];
    text += Digits[byte & 0xFU];
  }
  return text;
}

} // namespace cowslipridge::config
