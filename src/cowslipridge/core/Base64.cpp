#include "cowslipridge/core/Base64.hpp"

#include <openssl/evp.h>

#include <algorithm>

namespace cowslipridge::core {

namespace {

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t GroupChars = 4;
constexpr std::size_t GroupBytes = 3;

const unsigned char *bytesOf(std::string_view text) {
  return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string encodeBase64(std::string_view bytes) {
  const std::size_t groups = (bytes.size() + GroupBytes - 1) / GroupBytes;
  // EVP_EncodeBlock writes a terminating zero after the text.
  std::string text(groups * GroupChars + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                      bytesOf(bytes), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> decodeBase64(std::string_view text) {
  if (text.size() % GroupChars != 0)
    return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=')
    ++padding;
  const auto body = text.substr(0, text.size() - padding);
  // EVP_DecodeBlock trims white space, which would shift the padding.
  if (body.find_first_not_of(Alphabet) != std::string_view::npos)
    return std::nullopt;
  std::string bytes(text.size() / GroupChars * GroupBytes, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                      bytesOf(text), static_cast<int>(text.size()));
  if (size < 0)
    return std::nullopt;
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

} // namespace cowslipridge::core
