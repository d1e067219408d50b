#include "CrashingRequestFleet.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;

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

// Pattern: callers send the same few requests again and again, beside runners
// that crash for reasons of their own, each of them down most of the time.
TEST(CrashingRequestTest, soundRequestsThatComeAgainAreNotBlamed) {
  for (const std::uint64_t contents : {1U, 5U, 40U}) {
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      support::CrashLoad load = repeatedRequest(seed);
      load.CrashingShare = 0;
      load.RequestsPerSecond = 60;
      load.SoundContents = contents;
      load.CrashInterval = core::Millis(1'300);
      const auto result = support::CrashingRequestFleet(load).run();
      EXPECT_GT(result.Crashes, 10) << "seed " << seed;
      EXPECT_EQ(result.Quarantined, 0)
          << "seed " << seed << ", " << contents << " contents";
    }
  }
}

} // namespace
