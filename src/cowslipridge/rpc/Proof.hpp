#pragma once

#include <string>
#include <string_view>

namespace cowslipridge::rpc {

/// Length of a nonce in bytes. Nonces of another length are rejected.
constexpr std::size_t NonceBytes = 32;

/// The side that makes a proof. A proof made in one role is never valid for the
/// other, which prevents reflecting a peer's own proof back to it.
enum class ProofRole { Caller, Callee };

/// The data authenticated by a proof.
struct ProofInput {
  ProofRole Role = ProofRole::Caller;
  std::string CallerNonce;
  std::string CalleeNonce;
  std::string Instance; ///< name of the caller; empty in the callee's proof
};

/// Returns a fresh random nonce.
std::string makeNonce();
/// Returns the HMAC-SHA256 of `input` under the fleet key.
std::string makeProof(std::string_view fleetKey, const ProofInput &input);
/// Returns true if `proof` is valid for `input`. Compares in constant time.
bool verifyProof(std::string_view fleetKey, const ProofInput &input,
                 std::string_view proof);

} // namespace cowslipridge::rpc
