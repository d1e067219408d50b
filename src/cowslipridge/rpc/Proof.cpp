#include "cowslipridge/rpc/Proof.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace cowslipridge::rpc {

namespace {

constexpr std::string_view CallerLabel = "cowslipridge fleet caller 1\n";
constexpr std::string_view CalleeLabel = "cowslipridge fleet callee 1\n";

// Nonces have a fixed length, so the concatenation is unambiguous.
std::string toMessage(const ProofInput &facts) {
  std::string message(facts.Role == ProofRole::Caller ? CallerLabel
                                                      : CalleeLabel);
  message += facts.CallerNonce;
  message += facts.CalleeNonce;
  message += facts.Instance;
  return message;
}

} // namespace

std::string makeNonce() {
  std::string nonce(NonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1)
    throw std::runtime_error("the system gives no random bytes");
  return nonce;
}

std::string makeProof(std::string_view fleetKey, const ProofInput &facts) {
  const std::string message = toMessage(facts);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  HMAC(EVP_sha256(), fleetKey.data(), static_cast<int>(fleetKey.size()),
       reinterpret_cast<const unsigned char *>(message.data()), message.size(),
       digest.data(), &size);
  return {reinterpret_cast<const char *>(digest.data()), size};
}

bool verifyProof(std::string_view fleetKey, const ProofInput &facts,
                 std::string_view proof) {
  if (facts.CallerNonce.size() != NonceBytes ||
      facts.CalleeNonce.size() != NonceBytes)
    return false;
  const std::string expected = makeProof(fleetKey, facts);
  return proof.size() == expected.size() &&
         CRYPTO_memcmp(proof.data(), expected.data(), proof.size()) == 0;
}

} // namespace cowslipridge::rpc
