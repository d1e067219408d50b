#include "cowslipridge/ledger/CommitPacer.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::ledger;

namespace {

PacerSettings settings() {
  PacerSettings settings;
  settings.MinInterval = core::Millis(2);
  settings.MaxInterval = core::Millis(1'000);
  settings.FleetWritesPerSecond = 100;
  settings.Burst = 4;
  return settings;
}

TEST(CommitPacer, commitsInfrequentClaimAtOnce) {
  const CommitPacer pacer(settings());
  EXPECT_EQ(pacer.commitAt(CommitUrgency::Now, core::Millis(0)),
            core::Millis(0));
}

TEST(CommitPacer, keepsMinIntervalBetweenCommits) {
  CommitPacer pacer(settings());
  pacer.onCommit(core::Millis(10));
  EXPECT_EQ(pacer.commitAt(CommitUrgency::Now, core::Millis(10)),
            core::Millis(12));
}

TEST(CommitPacer, delaysBillsByMaxInterval) {
  const CommitPacer pacer(settings());
  EXPECT_EQ(pacer.commitAt(CommitUrgency::Later, core::Millis(50)),
            core::Millis(1'050));
}

TEST(CommitPacer, refillsBurstAtFleetRate) {
  CommitPacer pacer(settings());
  pacer.setFleetSize(10); // one commit per 100 ms for each ledger
  for (int i = 0; i < 4; ++i)
    pacer.onCommit(core::Millis(0));
  EXPECT_EQ(pacer.commitAt(CommitUrgency::Now, core::Millis(0)),
            core::Millis(100));
}

TEST(CommitPacer, reservesHalfOfBurstForClaims) {
  CommitPacer pacer(settings());
  pacer.setFleetSize(10);
  pacer.onCommit(core::Millis(0));
  pacer.onCommit(core::Millis(0));
  EXPECT_EQ(pacer.commitAt(CommitUrgency::Now, core::Millis(0)),
            core::Millis(2));
  EXPECT_EQ(pacer.commitAt(CommitUrgency::Soon, core::Millis(0)),
            core::Millis(100));
}

} // namespace
