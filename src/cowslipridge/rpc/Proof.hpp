#pragma once

#include <string>
#include <string_view>

namespace cowslipridge::rpc {

/// Bytes of a nonce; shorter and longer ones are refused.
constexpr std::size_t NonceBytes = 32;

/// Who makes a proof. A proof of one role is never valid for the other, so
/// that a peer's own proof cannot be reflected to it.
enum class ProofRole { Caller, Callee };

/// What a proof covers.
struct ProofInput {
  ProofRole Role = ProofRole::Caller;
  std::string CallerNonce;
  std::string CalleeNonce;
  std::string Instance; ///< the caller's name; empty in the callee's proof
};

/// A fresh random nonce.
std::string makeNonce();
/// HMAC-SHA256 of the facts under the fleet key.
std::string makeProof(std::string_view fleetKey, const ProofInput &facts);
/// Compares in constant time.
bool verifyProof(std::string_view fleetKey, const ProofInput &facts,
                 std::string_view proof);

} // namespace cowslipridge::rpc
