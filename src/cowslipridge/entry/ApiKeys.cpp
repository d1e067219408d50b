#include "cowslipridge/entry/ApiKeys.hpp"

#include "cowslipridge/core/Error.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace cowslipridge::entry {

using core::Errc;

namespace {

constexpr std::string_view Bearer = "Bearer ";

const config::OrganisationDeclaration *
findByHash(const config::ServiceDeclaration &service, const std::string &hash) {
  for (const config::OrganisationDeclaration &it : service.Organisations) {
    const auto &hashes = it.KeyHashes;
    if (std::find(hashes.begin(), hashes.end(), hash) != hashes.end())
      return &it;
  }
  return nullptr;
}

bool isKnownHash(const config::Bundle &bundle, const std::string &hash) {
  return std::any_of(
      bundle.Services.begin(), bundle.Services.end(),
      [&](const auto &x) { return findByHash(x.second, hash) != nullptr; });
}

} // namespace

std::string sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string hex;
  for (unsigned n = 0; n < size; ++n) {
    hex += Digits[digest[n] >> 4U];
    hex += Digits[digest[n] & 0xFU];
  }
  return hex;
}

std::optional<std::string> findBearerKey(const http::Headers &fields) {
  const auto value = http::findHeader(fields, "Authorization");
  if (!value || !value->starts_with(Bearer))
    return std::nullopt;
  return value->substr(Bearer.size());
}

core::Result<core::OrganisationId>
authenticate(const config::Bundle &bundle,
             const config::ServiceDeclaration &service,
             const http::Headers &fields) {
  const auto key = findBearerKey(fields);
  if (!key)
    return Errc::Unauthenticated;
  const std::string hash = sha256Hex(*key);
  if (const auto *organisation = findByHash(service, hash))
    return organisation->Name;
  return isKnownHash(bundle, hash) ? Errc::NotAllowed : Errc::Unauthenticated;
}

bool isKnownKey(const config::Bundle &bundle, const http::Headers &fields) {
  const auto key = findBearerKey(fields);
  return key && isKnownHash(bundle, sha256Hex(*key));
}

} // namespace cowslipridge::entry
