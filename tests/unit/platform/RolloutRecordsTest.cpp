#include "cowslipridge/platform/RolloutRecords.hpp"

#include "standins/platform/MetadataStore.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::platform;

namespace {

using standins::platform::MetadataStore;

rollout::RolloutStatus status(rollout::RolloutPhase phase) {
  return {core::ServiceId("llm"), core::VersionId("v2"), phase};
}

rollout::RolloutProgress progress(unsigned step) {
  return {core::ServiceId("llm"), core::VersionId("v2"), step,
          core::Millis(1'000)};
}

class RolloutRecordsTest : public testing::Test {
protected:
  /// Reads all records of the store.
  RolloutRecords read() const {
    RolloutRecords records;
    for (const auto &it : Store.list("", ""))
      records.record({it.Key, it.Value, it.Revision, it.Deleted});
    return records;
  }
  StoreTransaction next(const RolloutRecords &records, unsigned step) {
    return records.replace(status(rollout::RolloutPhase::InProgress),
                           progress(step), std::to_string(++LastId));
  }
  bool execute(const StoreTransaction &transaction) {
    std::vector<standins::platform::StoreCondition> conditions;
    for (const StoreCondition &it : transaction.Conditions)
      conditions.push_back({it.Key, it.Revision});
    std::vector<standins::platform::StoreWrite> writes;
    for (const StoreWrite &it : transaction.Writes)
      writes.push_back({it.Key, it.Value, it.Lease});
    return Store.transact(conditions, writes, transaction.Removals) ==
           MetadataStore::Outcome::Committed;
  }

  MetadataStore Store;
  unsigned LastId = 0;
};

TEST_F(RolloutRecordsTest, keysNameTheService) {
  EXPECT_EQ(RolloutRecords::parseStatusKey(RolloutRecords::statusKey("llm")),
            "llm");
  EXPECT_EQ(
      RolloutRecords::parseProgressKey(RolloutRecords::progressKey("a/b")),
      "a/b");
  EXPECT_EQ(
      RolloutRecords::parseMarkerKey(RolloutRecords::markerKey("a/b", "g-1")),
      "a/b");
  for (const char *key : {"op/config", "cowslipridge/record/x", "servers/a"})
    EXPECT_FALSE(RolloutRecords::parseMarkerKey(key)) << key;
}

TEST_F(RolloutRecordsTest, onlyOneOfTwoWritersReplacesARecord) {
  const RolloutRecords a = read();
  const RolloutRecords b = read();
  EXPECT_TRUE(execute(next(a, 0)));
  EXPECT_FALSE(execute(next(b, 0)));
  EXPECT_TRUE(execute(next(read(), 1)));
}

TEST_F(RolloutRecordsTest, leavesOneMarkerOfARecord) {
  for (unsigned step = 0; step < 3; ++step)
    EXPECT_TRUE(execute(next(read(), step)));
  EXPECT_EQ(Store.list("cowslipridge/record/", "").size(), 1U);
}

// Pattern: the store returns from an older copy, another gateway writes a
// record that gets the revision of the one that this gateway has read.
TEST_F(RolloutRecordsTest, revisionGivenOutAgainIsNotTheRecordThatWasRead) {
  const MetadataStore copy = Store;
  EXPECT_TRUE(execute(next(read(), 0)));
  const RolloutRecords outdated = read();
  const auto revision = Store.revision();
  Store.restore(copy);
  EXPECT_TRUE(execute(next(read(), 3)));
  ASSERT_EQ(Store.revision(), revision);
  EXPECT_FALSE(execute(next(outdated, 1)));
  EXPECT_TRUE(execute(next(read(), 4)));
}

TEST_F(RolloutRecordsTest, replacesTheRecordThatWasReadInAnEarlierEra) {
  EXPECT_TRUE(execute(next(read(), 0)));
  const MetadataStore copy = Store;
  const RolloutRecords same = read();
  Store.restore(copy);
  EXPECT_TRUE(execute(next(same, 1)));
}

// Builds without markers replace status and progress.
TEST_F(RolloutRecordsTest, replacesRecordOfAWriterWithoutMarkers) {
  EXPECT_TRUE(execute(next(read(), 0)));
  const RolloutRecords outdated = read();
  Store.transact({}, {{RolloutRecords::statusKey("llm"), "{}", 0}}, {});
  EXPECT_FALSE(execute(next(outdated, 1)));
  EXPECT_TRUE(execute(next(read(), 1)));
}

TEST(RolloutProgressTest, namesTheVersionsThatServe) {
  rollout::RolloutProgress it = progress(2);
  it.Serving = {core::VersionId("v1"), core::VersionId("v4")};
  EXPECT_EQ(*parseProgress(it.Service.str(), writeProgress(it)), it);
}

// Records of earlier builds lack the field, and other writers may spoil it.
TEST(RolloutProgressTest, knowsNoServingVersionsWithoutAReadableField) {
  for (const std::string field : {"", R"(,"serving":7)", R"(,"serving":[1])"}) {
    const auto it = parseProgress(
        "s", R"({"target":"v2","step":1,"elapsed_ms":5)" + field + "}");
    ASSERT_TRUE(it) << field;
    EXPECT_TRUE(it->Serving.empty()) << field;
  }
}

} // namespace
