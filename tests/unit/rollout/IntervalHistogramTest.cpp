#include "cowslipridge/rollout/IntervalHistogram.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge::rollout;

namespace {

TEST(IntervalHistogramTest, findsTheQuantileOfWhatWasAdded) {
  IntervalHistogram histogram;
  for (int n = 0; n < 90; ++n)
    histogram.add(40);
  for (int n = 0; n < 10; ++n)
    histogram.add(20);
  EXPECT_EQ(histogram.total(), 100U);
  const std::size_t fastest = histogram.quantileBucket(0.05);
  EXPECT_EQ(histogram.countUpTo(fastest), 10U);
  EXPECT_EQ(histogram.quantileBucket(0.5), fastest + 8) << "twice as long";
}

TEST(IntervalHistogramTest, holdsExtremeIntervals) {
  IntervalHistogram histogram;
  histogram.add(0);
  histogram.add(1e9);
  EXPECT_EQ(histogram.counts().front(), 1U);
  EXPECT_EQ(histogram.counts().back(), 1U);
  histogram.addToBucket(IntervalHistogram::BucketCount, 5);
  EXPECT_EQ(histogram.total(), 2U);
}

TEST(IntervalsByLoadTest, separatesStreamsByTheOtherRequestsAtTheirRunner) {
  IntervalsByLoad first;
  first.add(0, 20);
  first.add(1, 20);
  first.add(2, 30);
  IntervalsByLoad second;
  second.add(7, 40);
  second.add(100, 90);
  first += second;
  EXPECT_EQ(first.ofClass(0).total(), 2U);
  EXPECT_EQ(first.ofClass(1).total(), 1U);
  EXPECT_EQ(first.ofClass(2).total(), 1U);
  EXPECT_EQ(first.ofClass(3).total(), 1U);
  EXPECT_EQ(first.sum().total(), 5U);
}

} // namespace
