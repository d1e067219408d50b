#include "cowslipridge/session/TokenSealer.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/session/Base64Url.hpp"

#include <memory>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <optional>
#include <stdexcept>

namespace cowslipridge::session {

namespace {

constexpr std::size_t KeyBytes = 32;
constexpr std::size_t NonceBytes = 12;
constexpr std::size_t TagBytes = 16;
constexpr std::size_t MaxTokenChars = 4096;

// Authenticated with each token as associated data, so that a token of another
// layout is rejected.
constexpr std::string_view Layout = "cowslipridge-session-1";

using Json = nlohmann::json;
using CipherContext =
    std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;

struct SealedParts {
  std::string Nonce;
  std::string Cipher;
  std::string Tag;
};

const unsigned char *in(std::string_view text) {
  return reinterpret_cast<const unsigned char *>(text.data());
}

unsigned char *out(std::string &text) {
  return reinterpret_cast<unsigned char *>(text.data());
}

int sizeOf(std::string_view text) { return static_cast<int>(text.size()); }

void require(bool ok) {
  if (!ok)
    throw std::runtime_error("a call to the cryptographic library failed");
}

CipherContext newContext() {
  CipherContext context(EVP_CIPHER_CTX_new(), &EVP_CIPHER_CTX_free);
  require(context != nullptr);
  return context;
}

std::string randomNonce() {
  std::string nonce(NonceBytes, '\0');
  require(RAND_bytes(out(nonce), sizeOf(nonce)) == 1);
  return nonce;
}

SealedParts encrypt(const std::string &key, std::string_view plain) {
  SealedParts parts{randomNonce(), std::string(plain.size(), '\0'),
                    std::string(TagBytes, '\0')};
  const CipherContext context = newContext();
  EVP_CIPHER_CTX *raw = context.get();
  int n = 0;
  require(EVP_EncryptInit_ex(raw, EVP_aes_256_gcm(), nullptr, in(key),
                             in(parts.Nonce)) == 1);
  require(EVP_EncryptUpdate(raw, nullptr, &n, in(Layout), sizeOf(Layout)) == 1);
  require(EVP_EncryptUpdate(raw, out(parts.Cipher), &n, in(plain),
                            sizeOf(plain)) == 1);
  require(EVP_EncryptFinal_ex(raw, out(parts.Cipher) + n, &n) == 1);
  require(EVP_CIPHER_CTX_ctrl(raw, EVP_CTRL_GCM_GET_TAG, TagBytes,
                              out(parts.Tag)) == 1);
  return parts;
}

std::optional<std::string> decrypt(const std::string &key, SealedParts parts) {
  std::string plain(parts.Cipher.size(), '\0');
  const CipherContext context = newContext();
  EVP_CIPHER_CTX *raw = context.get();
  int n = 0;
  require(EVP_DecryptInit_ex(raw, EVP_aes_256_gcm(), nullptr, in(key),
                             in(parts.Nonce)) == 1);
  require(EVP_DecryptUpdate(raw, nullptr, &n, in(Layout), sizeOf(Layout)) == 1);
  require(EVP_DecryptUpdate(raw, out(plain), &n, in(parts.Cipher),
                            sizeOf(parts.Cipher)) == 1);
  require(EVP_CIPHER_CTX_ctrl(raw, EVP_CTRL_GCM_SET_TAG, TagBytes,
                              out(parts.Tag)) == 1);
  if (EVP_DecryptFinal_ex(raw, out(plain) + n, &n) != 1)
    return std::nullopt;
  return plain;
}

std::string encodeInfo(const SessionInfo &info) {
  const Json json = {info.Session.str(), info.Organisation.str(),
                     info.Service.str(), info.Version.str(),
                     info.StartedAt.count()};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool isSessionInfo(const Json &json) {
  if (!json.is_array() || json.size() != 5 || !json[4].is_number_integer())
    return false;
  for (std::size_t i = 0; i < 4; ++i) {
    if (!json[i].is_string())
      return false;
  }
  return true;
}

core::Result<SessionInfo> decodeInfo(const std::string &plain) {
  const Json json = Json::parse(plain, nullptr, false);
  if (!isSessionInfo(json))
    return core::Errc::InvalidSession;
  return SessionInfo{core::SessionId(json[0].get<std::string>()),
                     core::OrganisationId(json[1].get<std::string>()),
                     core::ServiceId(json[2].get<std::string>()),
                     core::VersionId(json[3].get<std::string>()),
                     core::Millis(json[4].get<std::int64_t>())};
}

std::optional<SealedParts> split(const std::string &bytes) {
  if (bytes.size() < NonceBytes + TagBytes)
    return std::nullopt;
  const std::size_t cipherBytes = bytes.size() - NonceBytes - TagBytes;
  return SealedParts{bytes.substr(0, NonceBytes),
                     bytes.substr(NonceBytes, cipherBytes),
                     bytes.substr(NonceBytes + cipherBytes)};
}

} // namespace

TokenSealer::TokenSealer(std::string key) : Key(std::move(key)) {
  if (Key.size() != KeyBytes)
    throw std::invalid_argument("the session key must have 32 bytes");
}

std::string TokenSealer::seal(const SessionInfo &info) const {
  const SealedParts parts = encrypt(Key, encodeInfo(info));
  return encodeBase64Url(parts.Nonce + parts.Cipher + parts.Tag);
}

core::Result<SessionInfo> TokenSealer::open(std::string_view token) const {
  if (token.size() > MaxTokenChars)
    return core::Errc::InvalidSession;
  const std::optional<std::string> bytes = decodeBase64Url(token);
  if (!bytes)
    return core::Errc::InvalidSession;
  const std::optional<SealedParts> parts = split(*bytes);
  if (!parts)
    return core::Errc::InvalidSession;
  const std::optional<std::string> plain = decrypt(Key, *parts);
  if (!plain)
    return core::Errc::InvalidSession;
  return decodeInfo(*plain);
}

} // namespace cowslipridge::session
