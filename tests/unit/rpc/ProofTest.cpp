#include "cowslipridge/rpc/Proof.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge::rpc;

namespace {

const std::string Key(32, 'k');

ProofInput makeInput(ProofRole role) {
  return {role, makeNonce(), makeNonce(), "entry-1"};
}

TEST(Proof, isValidForTheSameInput) {
  const ProofInput it = makeInput(ProofRole::Caller);
  EXPECT_TRUE(verifyProof(Key, it, makeProof(Key, it)));
}

TEST(Proof, failsUnderAnotherKey) {
  const ProofInput it = makeInput(ProofRole::Caller);
  EXPECT_FALSE(verifyProof(Key, it, makeProof(std::string(32, 'x'), it)));
}

TEST(Proof, isInvalidForTheOtherRole) {
  ProofInput it = makeInput(ProofRole::Callee);
  const std::string proof = makeProof(Key, it);
  it.Role = ProofRole::Caller;
  EXPECT_FALSE(verifyProof(Key, it, proof));
}

TEST(Proof, coversNoncesAndInstanceName) {
  const ProofInput it = makeInput(ProofRole::Caller);
  const std::string proof = makeProof(Key, it);
  ProofInput other = it;
  other.CallerNonce = makeNonce();
  EXPECT_FALSE(verifyProof(Key, other, proof));
  other = it;
  other.CalleeNonce = makeNonce();
  EXPECT_FALSE(verifyProof(Key, other, proof));
  other = it;
  other.Instance = "entry-2";
  EXPECT_FALSE(verifyProof(Key, other, proof));
}

TEST(Proof, rejectsShortNoncesAndProofs) {
  ProofInput it = makeInput(ProofRole::Caller);
  EXPECT_FALSE(verifyProof(Key, it, ""));
  EXPECT_FALSE(verifyProof(Key, it, makeProof(Key, it).substr(1)));
  it.CalleeNonce.clear();
  EXPECT_FALSE(verifyProof(Key, it, makeProof(Key, it)));
}

} // namespace
