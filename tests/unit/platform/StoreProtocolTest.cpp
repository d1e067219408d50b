#include "cowslipridge/platform/StoreProtocol.hpp"

#include "cowslipridge/platform/Documents.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace cowslipridge;
using namespace cowslipridge::platform;

namespace {

TEST(StoreProtocolTest, escapesKeysInTargets) {
  EXPECT_EQ(listCall("a b/", "c&d").Target,
            "/v1/kv-range?pathPrefix=a%20b%2F&after=c%26d");
  EXPECT_EQ(watchCall("", 411, core::Millis(20'000)).Target,
            "/v1/kv-watch?pathPrefix=&after=411&waitMs=20000");
}

TEST(StoreProtocolTest, parsesListingAndSkipsMalformedItems) {
  const auto batch = parseListing(
      R"({"entries":[{"key":"k","value":"bm9kZS0x","revision":412,"lease":0},
          {"key":"bad","value":"###","revision":1}, 7],
          "hasMore":true,"at":530})");
  ASSERT_TRUE(batch.ok());
  EXPECT_EQ(batch->Items,
            (std::vector<StoreItem>{{"k", "node-1", 412, false}}));
  EXPECT_TRUE(batch->HasMore);
  EXPECT_EQ(batch->Position, (StorePosition{0, 530}));
}

TEST(StoreProtocolTest, parsesChanges) {
  const auto batch = parseChanges(
      R"({"events":[{"key":"old","revision":413,"deleted":true}],"at":413})");
  ASSERT_TRUE(batch.ok());
  EXPECT_EQ(batch->Items, (std::vector<StoreItem>{{"old", "", 413, true}}));
}

TEST(StoreProtocolTest, rejectsResponsesWithoutRevisionOrLease) {
  for (const char *text : {"", "{}", "[]", R"({"events":[]})", "\xff"})
    EXPECT_FALSE(parseChanges(text).ok()) << text;
  EXPECT_FALSE(parseLease("{}").ok());
}

TEST(StoreProtocolTest, writesConditionalTransaction) {
  const StoreCall call = transactionCall(
      {{{"a", 0}}, {{"a", "node-1", 0}, {"b", "x", 77120}}, {"c"}});
  EXPECT_EQ(nlohmann::json::parse(call.Body),
            nlohmann::json::parse(
                R"({"expectedRevision":[{"key":"a","revision":0}],
                    "write":[{"key":"a","value":"bm9kZS0x"},
                             {"key":"b","value":"eA==","lease":77120}],
                    "remove":["c"]})"));
}

TEST(StoreProtocolTest, parsesEraOfResponse) {
  http1::HeaderFields fields;
  EXPECT_EQ(parseEra(fields), 0);
  fields.add("store-era", "17");
  EXPECT_EQ(parseEra(fields), 18);
  fields.set("Store-Era", "0");
  EXPECT_EQ(parseEra(fields), 1) << "differs from a store that names none";
  for (const char *text : {"", "x", "-3", "99999999999999999999"}) {
    fields.set("Store-Era", text);
    EXPECT_EQ(parseEra(fields), 0) << text;
  }
}

TEST(StoreProtocolTest, positionsOfALaterEraAreLater) {
  EXPECT_LT((StorePosition{1, 900}), (StorePosition{2, 100}));
  EXPECT_LT((StorePosition{2, 100}), (StorePosition{2, 101}));
}

TEST(StoreProtocolTest, listingRoundTrips) {
  StoreBatch batch;
  batch.Position = {3, 77};
  batch.Items = {{"op/config", std::string("\0\xff{}", 4), 41, false},
                 {"servers/a", "", 76, false}};
  const auto read = parseListing(writeListing(batch));
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(read->Position, (StorePosition{3, 77}));
  EXPECT_EQ(read->Items, batch.Items);
  EXPECT_FALSE(read->HasMore);
}

// Guards against a record that stops the process: peers' reports may carry
// names that are no valid UTF-8, and writing those as JSON threw.
TEST(StoreProtocolTest, writesNamesThatAreNotValidText) {
  StoreTransaction transaction;
  transaction.Writes.push_back({"\xff\xfe", "value", 0});
  EXPECT_NO_THROW((void)transactionCall(transaction));
  const rollout::RolloutStatus status{core::ServiceId("s"),
                                      core::VersionId("\xff"),
                                      rollout::RolloutPhase::Completed};
  EXPECT_NO_THROW((void)writeRolloutStatus(status));
}

} // namespace
