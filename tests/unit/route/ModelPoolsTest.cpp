#include "cowslipridge/route/ModelPools.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;
using core::Millis;

namespace {

TEST(ModelPoolsTest, leavesAtLeastOneRunnerInEachPool) {
  ModelPools pools;
  for (int n = 0; n < 1'000; ++n)
    pools.recordWork(false, 1'000, Millis(n));
  EXPECT_EQ(pools.smallerModelsPoolSize(2), 1U);
  EXPECT_LT(pools.smallerModelsPoolSize(12), 12U);
  ModelPools others;
  for (int n = 0; n < 1'000; ++n)
    others.recordWork(true, 1'000, Millis(n));
  EXPECT_GE(others.smallerModelsPoolSize(12), 1U);
  EXPECT_EQ(others.smallerModelsPoolSize(1), 1U);
}

TEST(ModelPoolsTest, poolSizeFollowsTheRecordedWork) {
  ModelPools pools;
  const std::size_t before = pools.smallerModelsPoolSize(12);
  for (std::int64_t n = 0; n < 300; ++n) {
    pools.recordWork(false, 100, Millis(n * 10));
    pools.recordWork(true, 100, Millis(n * 10));
  }
  EXPECT_GT(pools.smallerModelsPoolSize(12), before);
  EXPECT_EQ(pools.smallerModelsPoolSize(12), 6U);
}

TEST(ModelPoolsTest, poolShrinksAfterABurst) {
  ModelPools pools;
  for (int n = 0; n < 100; ++n)
    pools.recordWork(false, 1'000, Millis(n));
  const std::size_t during = pools.smallerModelsPoolSize(12);
  pools.recordWork(true, 1, Millis(120'000));
  EXPECT_LT(pools.smallerModelsPoolSize(12), during);
}

} // namespace
