#include "cowslipridge/limits/OrganisationShares.hpp"

#include <gtest/gtest.h>

#include <string>

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

constexpr Millis Second{1'000};

/// Records work of "a" to "d" for some seconds; "a" does `factor` times as much
/// as each of the others.
Millis load(OrganisationShares &shares, double factor, int seconds, Millis from,
            bool scarce = false) {
  Millis now = from;
  for (int n = 0; n < seconds; ++n, now = now + Second)
    for (const char *it : {"a", "b", "c", "d"})
      shares.record(core::OrganisationId(it),
                    std::string(it) == "a" ? 100 * factor : 100, scarce, now);
  return now;
}

// One organisation at seven times its usual load.
TEST(OrganisationSharesTest, organisationAtSevenTimesItsUsualLoadIsOver) {
  OrganisationShares shares;
  Millis now = load(shares, 1, 120, Second);
  EXPECT_FALSE(shares.isOver(core::OrganisationId("a"), now));
  now = load(shares, 7, 10, now, true);
  EXPECT_TRUE(shares.isOver(core::OrganisationId("a"), now));
  EXPECT_FALSE(shares.isOver(core::OrganisationId("b"), now));
  now = load(shares, 7, 20, now, true);
  EXPECT_TRUE(shares.isOver(core::OrganisationId("a"), now));
  now = load(shares, 1, 40, now);
  EXPECT_FALSE(shares.isOver(core::OrganisationId("a"), now));
}

TEST(OrganisationSharesTest, largeOrganisationWithItsUsualLoadIsNotOver) {
  OrganisationShares shares;
  const Millis now = load(shares, 20, 60, Second);
  EXPECT_FALSE(shares.isOver(core::OrganisationId("a"), now));
}

// Unused capacity is available to any organisation.
TEST(OrganisationSharesTest, onlyActiveOrganisationIsNotOver) {
  OrganisationShares shares;
  Millis now = load(shares, 1, 60, Second);
  now = now + Millis(100'000);
  shares.record(core::OrganisationId("a"), 5'000, false, now);
  EXPECT_FALSE(shares.isOver(core::OrganisationId("a"), now));
  EXPECT_FALSE(shares.isOver(core::OrganisationId("unknown"), now));
}

TEST(OrganisationSharesTest, forgetsOrganisationsWithoutWork) {
  OrganisationShares shares;
  const Millis now = load(shares, 1, 10, Second);
  shares.tick(now);
  EXPECT_EQ(shares.size(), 4U);
  shares.tick(now + Millis(3'600'000));
  EXPECT_EQ(shares.size(), 0U);
}

} // namespace
