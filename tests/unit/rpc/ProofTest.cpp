#include "cowslipridge/rpc/Proof.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge::rpc;

namespace {

const std::string Key(32, 'k');

ProofFacts facts(ProofRole role) {
  return {role, makeNonce(), makeNonce(), "entry-1"};
}

TEST(Proof, holdsForItsOwnFacts) {
  const ProofFacts it = facts(ProofRole::Caller);
  EXPECT_TRUE(isProof(Key, it, makeProof(Key, it)));
}

TEST(Proof, failsUnderAnotherKey) {
  const ProofFacts it = facts(ProofRole::Caller);
  EXPECT_FALSE(isProof(Key, it, makeProof(std::string(32, 'x'), it)));
}

TEST(Proof, cannotBeReflectedToItsMaker) {
  ProofFacts it = facts(ProofRole::Callee);
  const std::string proof = makeProof(Key, it);
  it.Role = ProofRole::Caller;
  EXPECT_FALSE(isProof(Key, it, proof));
}

TEST(Proof, bindsNoncesAndName) {
  const ProofFacts it = facts(ProofRole::Caller);
  const std::string proof = makeProof(Key, it);
  ProofFacts other = it;
  other.CallerNonce = makeNonce();
  EXPECT_FALSE(isProof(Key, other, proof));
  other = it;
  other.CalleeNonce = makeNonce();
  EXPECT_FALSE(isProof(Key, other, proof));
  other = it;
  other.Instance = "entry-2";
  EXPECT_FALSE(isProof(Key, other, proof));
}

TEST(Proof, refusesShortNoncesAndProofs) {
  ProofFacts it = facts(ProofRole::Caller);
  EXPECT_FALSE(isProof(Key, it, ""));
  EXPECT_FALSE(isProof(Key, it, makeProof(Key, it).substr(1)));
  it.CalleeNonce.clear();
  EXPECT_FALSE(isProof(Key, it, makeProof(Key, it)));
}

} // namespace
