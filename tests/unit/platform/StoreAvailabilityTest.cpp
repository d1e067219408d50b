#include "cowslipridge/platform/StoreAvailability.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::platform;
using core::Millis;
using Changes = StoreAvailability::Changes;

namespace {

constexpr Changes None{};
constexpr Changes Lost{.BecameUnavailable = true, .BecameAvailable = false};
constexpr Changes Back{.BecameUnavailable = false, .BecameAvailable = true};
constexpr Changes WasLost{.BecameUnavailable = true, .BecameAvailable = true};

// Guards against removals of runners that are deferred because one waiting
// watch was cut.
TEST(StoreAvailabilityTest, cutCallsBesideProcessedOnesShowNoOutage) {
  StoreAvailability store;
  EXPECT_EQ(store.record(CallOutcome::Processed, Millis(0)), None);
  for (Millis now{100}; now < Millis(10'000); now = now + Millis(100)) {
    const bool renews = now.count() % 1'000 == 0;
    EXPECT_EQ(
        store.record(renews ? CallOutcome::Processed : CallOutcome::Unanswered,
                     now),
        None);
  }
}

TEST(StoreAvailabilityTest, unansweredCallsShowAnOutageOnceNoneIsProcessed) {
  StoreAvailability store;
  store.record(CallOutcome::Processed, Millis(0));
  EXPECT_EQ(store.record(CallOutcome::Unanswered, Millis(10)), None);
  EXPECT_EQ(store.record(CallOutcome::Unanswered, Millis(1'499)), None);
  EXPECT_EQ(store.record(CallOutcome::Unanswered, Millis(1'500)), Lost);
  EXPECT_EQ(store.record(CallOutcome::Unanswered, Millis(1'600)), None);
  EXPECT_EQ(store.record(CallOutcome::Processed, Millis(4'000)), Back);
  EXPECT_EQ(store.record(CallOutcome::Unanswered, Millis(4'010)), None);
}

// The calls of the outage itself may all be waiting when it ends.
TEST(StoreAvailabilityTest, firstResponseShowsAnOutageThatNoCallHadShown) {
  StoreAvailability store;
  store.record(CallOutcome::Processed, Millis(0));
  store.record(CallOutcome::Unanswered, Millis(100));
  EXPECT_EQ(store.record(CallOutcome::Processed, Millis(2'400)), WasLost);
}

TEST(StoreAvailabilityTest, timeWithoutCallsShowsNoOutage) {
  StoreAvailability store;
  store.record(CallOutcome::Processed, Millis(0));
  EXPECT_EQ(store.record(CallOutcome::Processed, Millis(9'000)), None);
}

TEST(StoreAvailabilityTest, rejectionsShowAnOutageAtOnce) {
  StoreAvailability store;
  store.record(CallOutcome::Processed, Millis(0));
  EXPECT_EQ(store.record(CallOutcome::Rejected, Millis(10)), Lost);
  EXPECT_EQ(store.record(CallOutcome::Processed, Millis(20)), Back);
}

TEST(StoreAvailabilityTest, severalRateLimitedCallsInARowShowAnOutage) {
  StoreAvailability store;
  store.record(CallOutcome::Processed, Millis(0));
  for (int n = 1; n < 4; ++n)
    EXPECT_EQ(store.record(CallOutcome::RateLimited, Millis(n)), None);
  EXPECT_EQ(store.record(CallOutcome::RateLimited, Millis(4)), Lost);
}

TEST(StoreAvailabilityTest, firstCallOfAProcessShowsAnOutageWhenUnanswered) {
  StoreAvailability store;
  EXPECT_EQ(store.record(CallOutcome::Unanswered, Millis(10)), Lost);
}

} // namespace
