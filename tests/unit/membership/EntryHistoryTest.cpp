#include "cowslipridge/membership/EntryHistory.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::membership;
using core::Millis;

namespace {

constexpr Millis Started{1'700'000'000'000};

BackendServer entry(std::uint64_t sequence, bool draining = false,
                    Millis startedAt = Started) {
  BackendServer it;
  it.Id = core::RunnerId("a");
  it.Draining = draining;
  it.StartedAt = startedAt;
  it.Sequence = sequence;
  return it;
}

TEST(EntryHistoryTest, earlierEntryOfOneIncarnationIsOutdated) {
  EXPECT_TRUE(isOutdated(entry(3), entry(4)));
  EXPECT_FALSE(isOutdated(entry(4), entry(4)));
  EXPECT_FALSE(isOutdated(entry(5), entry(4)));
}

TEST(EntryHistoryTest, entryThatUndoesDrainingIsOutdated) {
  EXPECT_TRUE(isOutdated(entry(4), entry(4, true)));
  EXPECT_FALSE(isOutdated(entry(4, true), entry(4)));
}

TEST(EntryHistoryTest, entryOfEarlierIncarnationIsOutdated) {
  const Millis later = Started + Millis(1);
  EXPECT_TRUE(isOutdated(entry(9), entry(1, false, later)));
  EXPECT_FALSE(isOutdated(entry(1, false, later), entry(9)));
}

TEST(EntryHistoryTest, noEntryIsOutdatedWithoutStartTimes) {
  EXPECT_FALSE(isOutdated(entry(3, false, Millis()), entry(4)));
  EXPECT_FALSE(isOutdated(entry(3), entry(4, true, Millis())));
}

TEST(EntryHistoryTest, remembersThatARunnerLeftUntilItRegistersAgain) {
  EntryHistory history;
  history.recordLeft(entry(4, true), Millis(0));
  EXPECT_TRUE(history.hasLeft(entry(3)));
  EXPECT_TRUE(history.hasLeft(entry(4, true)));
  EXPECT_FALSE(history.hasLeft(entry(5)));
  EXPECT_FALSE(history.hasLeft(entry(1, false, Started + Millis(1))));
  history.recordRegistered(core::RunnerId("a"));
  EXPECT_FALSE(history.hasLeft(entry(3)));
}

TEST(EntryHistoryTest, forgetsRunnersThatLeftLongAgo) {
  EntryHistory history;
  history.recordLeft(entry(4), Millis(0));
  history.tick(Millis(3'600'000));
  EXPECT_FALSE(history.hasLeft(entry(4)));
}

} // namespace
