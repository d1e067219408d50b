#include "CrashingRequestFleet.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using core::Millis;

namespace {

constexpr int MaxLateArrivals = 3;
constexpr std::uint64_t Seeds = 12;

support::CrashLoad repeatedRequest(std::uint64_t seed) {
  support::CrashLoad load;
  load.Seed = seed;
  load.Cause = support::CrashCause::Content;
  load.Gateways = 5;
  load.Runners = 3;
  load.RequestsPerSecond = 15;
  load.CrashingShare = 0.1;
  return load;
}

// Guards against one plain request that crashes all runners of a service again
// and again, because each crash is blamed on the runner alone.
TEST(CrashingRequestTest, requestThatCrashesRunnersIsKeptFromThem) {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    const auto result =
        support::CrashingRequestFleet(repeatedRequest(seed)).run();
    EXPECT_LE(result.LateArrivals, MaxLateArrivals)
        << "seed " << seed << ", " << result.Crashes << " crashes";
  }
}

// Guards against rejecting sound requests that were in progress at several of
// the crashed runners.
TEST(CrashingRequestTest, otherRequestsOfTheServiceGoOn) {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    const auto result =
        support::CrashingRequestFleet(repeatedRequest(seed)).run();
    ASSERT_GT(result.Related, 50) << "seed " << seed;
    EXPECT_EQ(result.RelatedPlaced, result.Related) << "seed " << seed;
  }
}

} // namespace
