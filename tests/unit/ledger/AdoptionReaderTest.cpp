#include "cowslipridge/ledger/AdoptionReader.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::ledger;

namespace {

const core::ServiceId Service("desk");
const JournalId One{core::InstanceId("a"), core::Incarnation(1), 0};
const JournalId Two{core::InstanceId("b"), core::Incarnation(1), 0};

JournalRecord claimOf(const std::string &request) {
  Claim claim;
  claim.Request = core::RequestId(request);
  return claim;
}

JournalRecord adoptionOf(unsigned shard) {
  return ShardAdoption{Service, shard};
}

TEST(AdoptionReaderTest, ordersSegmentRecordsBeforeHeadRecords) {
  AdoptionReader reader(Service, {3}, {One});
  EXPECT_EQ(reader.nextKey(), headKey(Service, One));
  ASSERT_TRUE(reader.add(encodeHead({"x", 2, "", {claimOf("newest")}})));
  EXPECT_EQ(reader.nextKey(), segmentKey(Service, One, 0));
  ASSERT_TRUE(reader.add(encodeSegment({claimOf("oldest")})));
  EXPECT_EQ(reader.nextKey(), segmentKey(Service, One, 1));
  ASSERT_TRUE(reader.add(encodeSegment({claimOf("newer")})));
  EXPECT_TRUE(reader.isDone());
  EXPECT_EQ(reader.records(One),
            (std::vector<JournalRecord>{claimOf("oldest"), claimOf("newer"),
                                        claimOf("newest")}));
}

TEST(AdoptionReaderTest, readsAllJournals) {
  AdoptionReader reader(Service, {3}, {One, Two});
  ASSERT_TRUE(reader.add(encodeHead({"x", 0, "", {claimOf("one")}})));
  EXPECT_FALSE(reader.isDone());
  EXPECT_EQ(reader.nextKey(), headKey(Service, Two));
  ASSERT_TRUE(reader.add(encodeHead({"y", 0, "", {claimOf("two")}})));
  EXPECT_TRUE(reader.isDone());
  EXPECT_EQ(reader.records(Two), (std::vector<JournalRecord>{claimOf("two")}));
}

TEST(AdoptionReaderTest, skipsShardAdoptionRecords) {
  AdoptionReader reader(Service, {3}, {One});
  ASSERT_TRUE(reader.add(encodeHead({"x", 0, "", {adoptionOf(3)}})));
  EXPECT_TRUE(reader.records(One).empty());
}

TEST(AdoptionReaderTest, rejectsDamagedHeadAndSegment) {
  AdoptionReader reader(Service, {3}, {One});
  EXPECT_FALSE(reader.add("no head"));
  ASSERT_TRUE(reader.add(encodeHead({"x", 1, "", {}})));
  EXPECT_FALSE(reader.add("no segment"));
  EXPECT_FALSE(reader.isDone());
}

} // namespace
