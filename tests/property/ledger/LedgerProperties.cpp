#include "LedgerCluster.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::ledger::simulation;

namespace {

constexpr int GeneratedSequences = 2'500;

// A key runs at most once, the reported outcomes `ran` and `not run` are true,
// every served request is billed once or listed as unsettled, pins never
// change, and all shards are served again after the faults.
void holdsInAnySequence() {
  const EventSequence sequence = anySequence();
  const std::vector<std::string> violations = LedgerCluster(sequence).play();
  RC_ASSERT(violations == std::vector<std::string>());
}

// Four seeds, so that CTest runs the sequences in parallel.
TEST(LedgerProperties, holdInAnySequenceA) {
  support::expectHolds(GeneratedSequences, holdsInAnySequence, 1);
}
TEST(LedgerProperties, holdInAnySequenceB) {
  support::expectHolds(GeneratedSequences, holdsInAnySequence, 2);
}
TEST(LedgerProperties, holdInAnySequenceC) {
  support::expectHolds(GeneratedSequences, holdsInAnySequence, 3);
}
TEST(LedgerProperties, holdInAnySequenceD) {
  support::expectHolds(GeneratedSequences, holdsInAnySequence, 4);
}

} // namespace
