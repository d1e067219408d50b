#include "cowslipridge/limits/ServedShares.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

constexpr Millis Now{5'000};

// Guards against a kind that counts as starved after a single rejection.
TEST(ServedSharesTest, fewRequestsSayLittle) {
  ServedShares shares;
  EXPECT_EQ(shares.share("a", Now), 1);
  shares.record("a", false, Now);
  EXPECT_NEAR(shares.share("a", Now), 0.33, 0.01);
  shares.record("a", true, Now);
  EXPECT_NEAR(shares.share("a", Now), 0.6, 0.01);
}

TEST(ServedSharesTest, oldRequestsLoseTheirWeight) {
  ServedShares shares;
  for (int n = 0; n < 100; ++n)
    shares.record("a", false, Now);
  EXPECT_LT(shares.share("a", Now), 0.01);
  for (int n = 0; n < 100; ++n)
    shares.record("a", true, Now + Millis(20'000));
  EXPECT_GT(shares.share("a", Now + Millis(20'000)), 0.85);
  shares.tick(Now + Millis(200'000));
  EXPECT_EQ(shares.share("a", Now + Millis(200'000)), 1);
}

} // namespace
