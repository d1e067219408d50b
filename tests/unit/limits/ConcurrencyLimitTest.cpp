#include "cowslipridge/limits/ConcurrencyLimit.hpp"

#include <algorithm>
#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;

namespace {

constexpr double Capacity = 8;
constexpr core::Millis Expected{100};

/// Runs `rounds` batches, each as large as the limit, on a runner at `speed`
/// times its normal speed. Beyond `Capacity` the calls of a batch share its
/// speed.
void runBatches(ConcurrencyLimit &limit, int rounds, double speed,
                core::Millis &now) {
  for (int n = 0; n < rounds; ++n) {
    const unsigned inFlight = limit.current();
    const double sharing = std::max(1.0, inFlight / Capacity) / speed;
    const core::Millis elapsed(static_cast<std::int64_t>(100 * sharing));
    now = now + elapsed;
    for (unsigned i = 0; i < inFlight; ++i)
      limit.onFinish({elapsed, Expected, inFlight, false}, now);
  }
}

TEST(ConcurrencyLimit, convergesToTheCapacity) {
  ConcurrencyLimit limit({1, 64});
  core::Millis now;
  runBatches(limit, 200, 1, now);
  EXPECT_GE(limit.current(), 8U);
  EXPECT_LE(limit.current(), 11U);
}

TEST(ConcurrencyLimit, recoversAfterTheRunnerWasSlow) {
  ConcurrencyLimit limit({1, 32});
  core::Millis now;
  runBatches(limit, 100, 1, now);
  runBatches(limit, 200, 0.3, now);
  runBatches(limit, 100, 1, now);
  EXPECT_GE(limit.current(), 8U);
  EXPECT_LE(limit.current(), 11U);
}

TEST(ConcurrencyLimit, ignoresFailedRequests) {
  ConcurrencyLimit limit({1, 32});
  const unsigned before = limit.current();
  for (int n = 0; n < 1000; ++n)
    limit.onFinish({core::Millis(9000), Expected, before, true},
                   core::Millis(10'000));
  EXPECT_EQ(limit.current(), before);
}

TEST(ConcurrencyLimit, startsAtTheUpperBoundIfSmall) {
  EXPECT_EQ(ConcurrencyLimit({1, 4}).current(), 4U);
}

} // namespace
