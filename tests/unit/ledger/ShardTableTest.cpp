#include "cowslipridge/ledger/ShardTable.hpp"

#include "cowslipridge/core/Error.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::ledger;

namespace {

JournalId journalOf(const std::string &instance) {
  return {core::InstanceId(instance), core::Incarnation(7), 0};
}

ShardTable tableOf(std::size_t shards) {
  ShardTable table;
  table.Shards.resize(shards);
  return table;
}

TEST(ShardTable, assignsOwnerlessShardsUpToLimit) {
  ShardTable table = tableOf(5);
  assignOwnerless(table, journalOf("a"), 3);
  EXPECT_EQ(ownedBy(table, journalOf("a")), 3U);
  assignOwnerless(table, journalOf("b"), 3);
  EXPECT_EQ(ownedBy(table, journalOf("b")), 2U);
}

TEST(ShardTable, recordsSealedOwnerAsPrevious) {
  ShardTable table = tableOf(1);
  table.Members = {journalOf("a")};
  assignOwnerless(table, journalOf("a"), 1);
  removeSealed(table, journalOf("a"));
  EXPECT_TRUE(table.Members.empty());
  EXPECT_FALSE(table.Shards[0].Owner);
  EXPECT_EQ(table.Shards[0].Previous, std::vector{journalOf("a")});
}

TEST(ShardTable, listsEarlierOwnerOnce) {
  ShardTable table = tableOf(1);
  for (int i = 0; i < 3; ++i) {
    assignOwnerless(table, journalOf("a"), 1);
    removeReleased(table, journalOf("a"), 0);
  }
  EXPECT_EQ(table.Shards[0].Previous.size(), 1U);
}

// If `a` owned the shard again, its newer records would be replayed before the
// older ones of `b`.
TEST(ShardTable, skipsEarlierOwnerUntilLaterOwnerIsAdopted) {
  ShardTable table = tableOf(1);
  table.Shards[0].Previous = {journalOf("a"), journalOf("b")};
  assignOwnerless(table, journalOf("a"), 1);
  EXPECT_FALSE(table.Shards[0].Owner);
  assignOwnerless(table, journalOf("c"), 1);
  EXPECT_EQ(table.Shards[0].Owner, journalOf("c"));
}

TEST(ShardTable, detectsMemberBelowShare) {
  ShardTable table = tableOf(4);
  table.Members = {journalOf("a"), journalOf("b")};
  assignOwnerless(table, journalOf("a"), 4);
  EXPECT_EQ(fairShare(table), 2U);
  EXPECT_TRUE(hasMemberBelowShare(table));
}

TEST(ShardTable, roundTripsAndRejectsMalformedText) {
  ShardTable table = tableOf(2);
  table.Members = {journalOf("a")};
  table.Shards[1] = {journalOf("a"), {journalOf("b")}};
  EXPECT_EQ(*decodeTable(encodeTable(table)), table);
  EXPECT_EQ(decodeTable("{").error(), core::Errc::Malformed);
  EXPECT_EQ(decodeTable(R"({"members":["x"],"shards":[]})").error(),
            core::Errc::Malformed);
}

} // namespace
