#include "CrashingRequestFleet.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using core::Millis;

namespace {

constexpr int MaxLateArrivals = 3;
constexpr std::uint64_t Seeds = 12;

// Guards against retries and new requests that carry a crash from runner to
// runner.
TEST(CrashingPromptTest, segmentThatCrashesRunnersIsKeptFromThem) {
  for (const std::size_t position : {std::size_t{0}, std::size_t{1}}) {
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      support::CrashLoad load;
      load.Seed = seed;
      load.Position = position;
      const auto result = support::CrashingRequestFleet(load).run();
      EXPECT_LE(result.LateArrivals, MaxLateArrivals)
          << "seed " << seed << ", " << result.Crashes << " crashes";
    }
  }
}

// Guards against rejecting sound requests for a segment that they share with
// those that crash runners.
TEST(CrashingPromptTest, requestsThatShareOtherSegmentsGoOn) {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    support::CrashLoad load;
    load.Seed = seed;
    load.Duration = Millis(40'000);
    const auto result = support::CrashingRequestFleet(load).run();
    ASSERT_GT(result.Related, 10) << "seed " << seed;
    EXPECT_GE(result.RelatedPlaced * 2, result.Related) << "seed " << seed;
  }
}

} // namespace
