#include "cowslipridge/membership/LeavingRunners.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::membership;
using core::Millis;

namespace {

const core::RunnerId Runner("a");

BackendServer entryOf(Millis startedAt) {
  BackendServer entry;
  entry.Id = Runner;
  entry.StartedAt = startedAt;
  return entry;
}

TEST(LeavingRunnersTest, holdsTheIncarnationAndEarlierOnes) {
  LeavingRunners leaving;
  EXPECT_FALSE(leaving.contains(entryOf(Millis(50))));
  EXPECT_TRUE(leaving.record(Runner, Millis(50), Millis(1'000)));
  EXPECT_FALSE(leaving.record(Runner, Millis(50), Millis(1'001)));
  EXPECT_TRUE(leaving.contains(entryOf(Millis(50))));
  EXPECT_TRUE(leaving.contains(entryOf(Millis(40))));
  EXPECT_FALSE(leaving.contains(entryOf(Millis(51))));
}

// A response of the earlier incarnation may arrive after the runner restarted.
TEST(LeavingRunnersTest, lateAnnouncementDoesNotConcernALaterStart) {
  LeavingRunners leaving;
  EXPECT_TRUE(leaving.record(Runner, Millis(60), Millis(1'000)));
  EXPECT_FALSE(leaving.record(Runner, Millis(50), Millis(1'001)));
  EXPECT_TRUE(leaving.contains(entryOf(Millis(60))));
  EXPECT_FALSE(leaving.contains(entryOf(Millis(61))));
}

TEST(LeavingRunnersTest, forgetsRunnersThatWereNotRegisteredForLong) {
  LeavingRunners leaving;
  leaving.record(Runner, Millis(50), Millis(0));
  leaving.keep(Runner, Millis(100'000));
  leaving.tick(Millis(200'000));
  EXPECT_TRUE(leaving.contains(entryOf(Millis(50))));
  leaving.tick(Millis(300'000));
  EXPECT_FALSE(leaving.contains(entryOf(Millis(50))));
}

} // namespace
