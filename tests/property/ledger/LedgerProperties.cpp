#include "LedgerCluster.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::ledger::simulation;

namespace {

constexpr int Histories = 2'500;

// At most one run of a key, `never ran` and `ran` are true, every served
// request is billed once or listed as unsettled, pins never change, and all
// shards are served again after the faults.
void holdsInAnyHistory() {
  const History history = anyHistory();
  const std::vector<std::string> violations = LedgerCluster(history).play();
  RC_ASSERT(violations == std::vector<std::string>());
}

// Four seeds, so that the histories run side by side under CTest.
TEST(LedgerProperties, holdInAnyHistoryA) {
  support::expectHolds(Histories, holdsInAnyHistory, 1);
}
TEST(LedgerProperties, holdInAnyHistoryB) {
  support::expectHolds(Histories, holdsInAnyHistory, 2);
}
TEST(LedgerProperties, holdInAnyHistoryC) {
  support::expectHolds(Histories, holdsInAnyHistory, 3);
}
TEST(LedgerProperties, holdInAnyHistoryD) {
  support::expectHolds(Histories, holdsInAnyHistory, 4);
}

} // namespace
