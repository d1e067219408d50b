#include "cowslipridge/gateway/RecentRequests.hpp"

#include <gtest/gtest.h>

#include <string>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

constexpr EarlierAttempts Refused{true, false, 0};
constexpr EarlierAttempts Served{true, true, 1};

RequestKey key(const std::string &id, const std::string &organisation = "one") {
  return {core::OrganisationId(organisation), core::RequestId(id)};
}

class RecentRequestsTest : public testing::Test {
protected:
  RecentRequests Recent{7};
};

TEST_F(RecentRequestsTest, knowsNothingOfANewId) {
  EXPECT_EQ(Recent.begin(key("a"), Millis(0)), std::nullopt);
  EXPECT_EQ(Recent.begin(key("b"), Millis(0)), std::nullopt);
}

TEST_F(RecentRequestsTest, requestsWithoutAnIdHaveNothingInCommon) {
  EXPECT_EQ(Recent.begin(key(""), Millis(0)), std::nullopt);
  EXPECT_EQ(Recent.begin(key(""), Millis(0)), std::nullopt);
  Recent.end(key(""), Served, Millis(0));
}

TEST_F(RecentRequestsTest, tellsWhatEarlierRequestsWithTheIdDid) {
  Recent.begin(key("a"), Millis(0));
  Recent.end(key("a"), Refused, Millis(10));
  EXPECT_EQ(Recent.begin(key("a"), Millis(20)), Refused);
  Recent.end(key("a"), Served, Millis(30));
  EXPECT_EQ(Recent.begin(key("a"), Millis(40)), Served);
}

TEST_F(RecentRequestsTest, requestInProgressMayHaveRun) {
  Recent.begin(key("a"), Millis(0));
  const auto earlier = Recent.begin(key("a"), Millis(0));
  ASSERT_TRUE(earlier.has_value());
  EXPECT_TRUE(earlier->MayHaveRun);
  Recent.end(key("a"), Served, Millis(10));
  Recent.end(key("a"), Refused, Millis(20));
  EXPECT_EQ(Recent.begin(key("a"), Millis(30)), Served)
      << "the one that ended first ran";
}

TEST_F(RecentRequestsTest, organisationsHaveIdsOfTheirOwn) {
  Recent.begin(key("a", "one"), Millis(0));
  EXPECT_EQ(Recent.begin(key("a", "two"), Millis(0)), std::nullopt);
}

TEST_F(RecentRequestsTest, forgetsRequestsThatEndedLongAgo) {
  Recent.begin(key("a"), Millis(0));
  Recent.begin(key("b"), Millis(0));
  Recent.end(key("a"), Served, Millis(10));
  EXPECT_EQ(Recent.begin(key("c"), Millis(100'000)), std::nullopt);
  EXPECT_EQ(Recent.begin(key("a"), Millis(100'000)), std::nullopt);
  EXPECT_TRUE(Recent.begin(key("b"), Millis(100'000)).has_value())
      << "it is still in progress";
}

TEST_F(RecentRequestsTest, idsOfEndedRequestsAreBounded) {
  constexpr int Requests = 50'000;
  for (int n = 0; n < Requests; ++n) {
    const RequestKey it = key(std::to_string(n));
    Recent.begin(it, Millis(0));
    Recent.end(it, Served, Millis(0));
  }
  EXPECT_LE(Recent.size(), 20'000U);
  EXPECT_EQ(Recent.begin(key(std::to_string(Requests - 1)), Millis(0)), Served);
}

} // namespace
