#include "cowslipridge/session/Base64Url.hpp"

#include <algorithm>
#include <openssl/evp.h>

namespace cowslipridge::session {

namespace {

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

bool isAlphabet(std::string_view text) {
  return text.find_first_not_of(Alphabet) == std::string_view::npos;
}

std::string toStandardAlphabet(std::string_view text) {
  std::string standard(text);
  std::replace(standard.begin(), standard.end(), '-', '+');
  std::replace(standard.begin(), standard.end(), '_', '/');
  return standard;
}

const unsigned char *bytesOf(std::string_view text) {
  return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string encodeBase64Url(std::string_view bytes) {
  // EVP_EncodeBlock writes a terminating NUL.
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                      bytesOf(bytes), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  text.erase(std::find(text.begin(), text.end(), '='), text.end());
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::optional<std::string> decodeBase64Url(std::string_view text) {
  if (text.size() % 4 == 1 || !isAlphabet(text))
    return std::nullopt;
  std::string padded = toStandardAlphabet(text);
  const std::size_t padding = (4 - text.size() % 4) % 4;
  padded.append(padding, '=');
  std::string bytes(padded.size() / 4 * 3, '\0');
  if (EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                      bytesOf(padded), static_cast<int>(padded.size())) < 0)
    return std::nullopt;
  bytes.resize(bytes.size() - padding);
  // Unused trailing bits must be zero, so that each token has exactly one
  // encoding.
  if (encodeBase64Url(bytes) != text)
    return std::nullopt;
  return bytes;
}

} // namespace cowslipridge::session
