#include "cowslipridge/gateway/ConfigurationLag.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Generation;
using core::Millis;

namespace {

constexpr Millis Overdue = ConfigurationLag::PropagationTime;

TEST(ConfigurationLagTest, waitsForTheStoreFirst) {
  ConfigurationLag lag;
  lag.onReport(Generation(5), Generation(4), Millis(0));
  EXPECT_FALSE(lag.isOverdue(Generation(4), Overdue - Millis(1)));
  EXPECT_TRUE(lag.isOverdue(Generation(4), Overdue));
}

TEST(ConfigurationLagTest, endsWhenTheConfigurationArrives) {
  ConfigurationLag lag;
  lag.onReport(Generation(5), Generation(4), Millis(0));
  EXPECT_FALSE(lag.isOverdue(Generation(5), Overdue));
}

TEST(ConfigurationLagTest, laterGenerationsDoNotExtendTheWait) {
  ConfigurationLag lag;
  for (std::uint64_t n = 1; n <= 10; ++n)
    lag.onReport(Generation(4 + n), Generation(4),
                 Millis(static_cast<std::int64_t>(n) * 100));
  EXPECT_TRUE(lag.isOverdue(Generation(4), Overdue + Millis(100)));
}

TEST(ConfigurationLagTest, startsAnewForTheNextMissingGeneration) {
  ConfigurationLag lag;
  lag.onReport(Generation(5), Generation(4), Millis(0));
  lag.onReport(Generation(6), Generation(5), Millis(900));
  EXPECT_FALSE(lag.isOverdue(Generation(5), Overdue + Millis(800)));
  EXPECT_TRUE(lag.isOverdue(Generation(5), Overdue + Millis(900)));
}

TEST(ConfigurationLagTest, olderPeerMeansNoLag) {
  ConfigurationLag lag;
  lag.onReport(Generation(3), Generation(4), Millis(0));
  EXPECT_FALSE(lag.isOverdue(Generation(4), Overdue * 10));
}

} // namespace
