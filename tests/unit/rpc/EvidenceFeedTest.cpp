#include "cowslipridge/rpc/EvidenceFeed.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using rpc::EvidenceFeed;

namespace {

const core::InstanceId One("one");
const core::InstanceId Two("two");

rollout::EvidenceRecord record(const core::InstanceId &source,
                               std::uint64_t grades) {
  rollout::EvidenceRecord it;
  it.Source = {source, core::Incarnation(1)};
  it.Counters.Grades = grades;
  return it;
}

TEST(EvidenceFeed, sendsEachRecordOncePerPeer) {
  EvidenceFeed feed;
  feed.add({record(core::InstanceId("self"), 3)});
  EXPECT_EQ(feed.take(One, 10).size(), 1U);
  EXPECT_TRUE(feed.take(One, 10).empty());
  EXPECT_EQ(feed.take(Two, 10).size(), 1U);
}

TEST(EvidenceFeed, sendsTheNewestCountersOnly) {
  EvidenceFeed feed;
  feed.add({record(Two, 3)});
  feed.add({record(Two, 4)});
  const auto records = feed.take(One, 10);
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(records[0].Counters.Grades, 4U);
}

TEST(EvidenceFeed, resumesAfterTheLastRecordSentUnderTheLimit) {
  EvidenceFeed feed;
  for (const char *it : {"a", "b", "c"})
    feed.add({record(core::InstanceId(it), 1)});
  EXPECT_EQ(feed.take(One, 2).size(), 2U);
  EXPECT_EQ(feed.take(One, 2).size(), 1U);
}

TEST(EvidenceFeed, doesNotSendAPeerItsOwnRecords) {
  EvidenceFeed feed;
  feed.add({record(One, 3)});
  EXPECT_TRUE(feed.take(One, 10).empty());
  EXPECT_EQ(feed.take(Two, 10).size(), 1U);
}

} // namespace
