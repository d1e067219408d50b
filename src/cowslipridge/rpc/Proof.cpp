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

// Nonces have a fixed length, which makes the concatenation unambiguous.
std::string toMessage(const ProofInput &input) {
  std::string message(input.Role == ProofRole::Caller ? CallerLabel
                                                      : CalleeLabel);
  message += input.CallerNonce;
  message += input.CalleeNonce;
  message += input.Instance;
  return message;
}

} // namespace

std::string makeNonce() {
  std::string nonce(NonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1)
    throw std::runtime_error("RAND_bytes failed to generate a nonce");
  return nonce;
}

std::string makeProof(std::string_view fleetKey, const ProofInput &input) {
  const std::string message = toMessage(input);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  HMAC(EVP_sha256(), fleetKey.data(), static_cast<int>(fleetKey.size()),
       reinterpret_cast<const unsigned char *>(message.data()), message.size(),
       digest.data(), &size);
  return {reinterpret_cast<const char *>(digest.data()), size};
}

bool verifyProof(std::string_view fleetKey, const ProofInput &input,
                 std::string_view proof) {
  if (input.CallerNonce.size() != NonceBytes ||
      input.CalleeNonce.size() != NonceBytes)
    return false;
  const std::string expected = makeProof(fleetKey, input);
  return proof.size() == expected.size() &&
         CRYPTO_memcmp(proof.data(), expected.data(), proof.size()) == 0;
}

} // namespace cowslipridge::rpc
