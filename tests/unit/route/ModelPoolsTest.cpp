#include "cowslipridge/route/ModelPools.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;
using core::Millis;

namespace {

TEST(ModelPoolsTest, eachSideKeepsARunner) {
  ModelPools pools;
  for (int n = 0; n < 1'000; ++n)
    pools.sent(true, 1'000, Millis(n));
  EXPECT_EQ(pools.smallestPool(2), 1U);
  EXPECT_LT(pools.smallestPool(12), 12U);
  ModelPools others;
  for (int n = 0; n < 1'000; ++n)
    others.sent(false, 1'000, Millis(n));
  EXPECT_GE(others.smallestPool(12), 1U);
  EXPECT_EQ(others.smallestPool(1), 1U);
}

TEST(ModelPoolsTest, followsTheWork) {
  ModelPools pools;
  const std::size_t before = pools.smallestPool(12);
  for (std::int64_t n = 0; n < 300; ++n) {
    pools.sent(true, 100, Millis(n * 10));
    pools.sent(false, 100, Millis(n * 10));
  }
  EXPECT_GT(pools.smallestPool(12), before);
  EXPECT_EQ(pools.smallestPool(12), 6U);
}

TEST(ModelPoolsTest, forgetsABurst) {
  ModelPools pools;
  for (int n = 0; n < 100; ++n)
    pools.sent(true, 1'000, Millis(n));
  const std::size_t during = pools.smallestPool(12);
  pools.sent(false, 1, Millis(120'000));
  EXPECT_LT(pools.smallestPool(12), during);
}

} // namespace
