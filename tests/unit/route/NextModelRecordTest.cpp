#include "cowslipridge/route/NextModelRecord.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;
using core::Millis;

namespace {

TEST(NextModelRecordTest, triesTheNextModelBeforeAnythingIsKnown) {
  EXPECT_TRUE(NextModelRecord().isWorthwhile(Millis(0)));
}

TEST(NextModelRecordTest, staysWithAModelWhoseAnswersSuffice) {
  NextModelRecord record;
  for (std::int64_t n = 0; n < 200; ++n)
    record.record(n % 4 != 0, Millis(n * 50));
  EXPECT_TRUE(record.isWorthwhile(Millis(10'000)));
}

// Pattern: the model of intermediate size is hardly better than the smallest
// one, so that nearly all requests run a third time.
TEST(NextModelRecordTest, leavesOutAModelThatIsHardlyBetter) {
  NextModelRecord record;
  for (std::int64_t n = 0; n < 60; ++n)
    record.record(n % 5 == 0, Millis(n * 50));
  EXPECT_FALSE(record.isWorthwhile(Millis(3'000)));
}

TEST(NextModelRecordTest, triesAgainAfterAWhile) {
  NextModelRecord record;
  for (std::int64_t n = 0; n < 60; ++n)
    record.record(false, Millis(n * 50));
  EXPECT_FALSE(record.isWorthwhile(Millis(3'000)));
  EXPECT_TRUE(record.isWorthwhile(Millis(200'000)));
}

} // namespace
