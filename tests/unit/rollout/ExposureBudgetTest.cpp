#include "cowslipridge/rollout/ExposureBudget.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::rollout;
using core::Millis;

namespace {

constexpr ExposureLimit Limit{0.1, 30};
/// Returns a roll-out at half of its time.
TrialProgress halfWay(std::uint64_t target, std::uint64_t all,
                      Millis observed = Millis(10'000)) {
  return {{target, all, observed}, 0.06, Millis(10'000), Millis(20'000)};
}

TEST(ExposureBudgetTest, serviceWithFewRequestsStaysWithin) {
  EXPECT_TRUE(staysWithin(Limit, halfWay(1, 10), 1));
  EXPECT_TRUE(staysWithin(Limit, halfWay(0, 0), 1));
}

TEST(ExposureBudgetTest, shareOfABusyServiceIsBounded) {
  // 1,000 requests until the deadline: 130 are permitted.
  EXPECT_TRUE(staysWithin(Limit, halfWay(30, 500), 0.1));
  EXPECT_FALSE(staysWithin(Limit, halfWay(30, 500), 0.25));
}

// Guards against taking a service for a quiet one after the counts were lost.
TEST(ExposureBudgetTest, lostCountsDoNotMakeAServiceQuiet) {
  EXPECT_FALSE(staysWithin(Limit, halfWay(6, 100, Millis(2'000)), 0.25));
  EXPECT_FALSE(staysWithin(Limit, halfWay(0, 10, Millis(200)), 0.25));
}

TEST(ExposureBudgetTest, busyServiceIsNotQuietJustBeforeTheDeadline) {
  const TrialProgress late{
      {40, 950, Millis(19'000)}, 0.06, Millis(19'000), Millis(20'000)};
  EXPECT_TRUE(staysWithin(Limit, late, 1));
  EXPECT_FALSE(isQuiet(Limit, late));
  EXPECT_TRUE(isQuiet(Limit, halfWay(1, 20)));
}

TEST(ExposureBudgetTest, limitIsNearlyUsedUpBeforeItIsReached) {
  EXPECT_FALSE(isNearlyUsedUp(Limit, halfWay(100, 500)));
  EXPECT_TRUE(isNearlyUsedUp(Limit, halfWay(120, 500)));
}

} // namespace
