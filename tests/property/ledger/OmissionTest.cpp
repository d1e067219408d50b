#include "LedgerCluster.hpp"
#include "support/PropertyChecks.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::ledger::simulation;

// Disables one mechanism of the ledger at a time; a violation must then be
// found. LedgerProperties checks that the same kind of sequences hold with all
// mechanisms.
namespace {

constexpr int GeneratedSequences = 10'000;

void expectFailsWithout(Omission omitted, const std::string &violation) {
  support::expectViolated(GeneratedSequences, [=] {
    const EventSequence sequence = anySequence(omitted);
    const std::vector<std::string> found = LedgerCluster(sequence).play();
    RC_ASSERT(std::find(found.begin(), found.end(), violation) == found.end());
  });
}

TEST(LedgerProperties, atMostOneRunFailsWithoutClaimCommit) {
  expectFailsWithout(Omission::ClaimCommit, "a non-idempotent call ran twice");
}

TEST(LedgerProperties, atMostOneRunFailsWithoutSealing) {
  expectFailsWithout(Omission::Sealing, "a non-idempotent call ran twice");
}

TEST(LedgerProperties, claimBeforeRunFailsWithoutVerifyingLostReplies) {
  expectFailsWithout(Omission::LostReplies,
                     "a call runs without a claim in its owner's journal");
}

TEST(LedgerProperties, atMostOneRunFailsWithoutVerifyingLostReplies) {
  expectFailsWithout(Omission::LostReplies, "a non-idempotent call ran twice");
}

TEST(LedgerProperties, atMostOneRunFailsWithoutAdoption) {
  expectFailsWithout(Omission::Adoption, "a non-idempotent call ran twice");
}

TEST(LedgerProperties, pinsFailWithoutAdoption) {
  expectFailsWithout(Omission::Adoption, "a session's pin changed");
}

TEST(LedgerProperties, atMostOneRunFailsWithoutTableRevisions) {
  expectFailsWithout(Omission::TableRevision,
                     "a non-idempotent call ran twice");
}

TEST(LedgerProperties, billedOnceFailsWithoutBillKeys) {
  expectFailsWithout(Omission::BillKeys, "a request was billed twice");
}

} // namespace
