#include "cowslipridge/limits/ReturnSlots.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

/// Records first tokens, one each 100 ms, and returns the time of the last.
Millis warmUp(ReturnSlots &slots) {
  Millis now{1'000};
  for (int n = 0; n < 200; ++n) {
    now = now + Millis(100);
    slots.onFirstToken(now);
  }
  return now;
}

constexpr Millis Long{30'000}; // time left

TEST(ReturnSlotsTest, callersReturnAtTheRateOfFirstTokens) {
  ReturnSlots slots;
  const Millis now = warmUp(slots);
  EXPECT_EQ(slots.next({0, Long, Millis()}, now), Millis(150));
  for (int n = 0; n < 9; ++n)
    slots.next({0, Long, Millis()}, now);
  const auto tenth = slots.next({0, Long, Millis()}, now);
  EXPECT_NEAR(static_cast<double>(tenth.count()), 1'150, 60);
}

TEST(ReturnSlotsTest, urgentCallersDoNotQueueBehindOthers) {
  ReturnSlots slots;
  const Millis now = warmUp(slots);
  for (int n = 0; n < 20; ++n)
    slots.next({2, Long, Millis()}, now);
  EXPECT_EQ(slots.next({0, Long, Millis()}, now), Millis(150));
  EXPECT_GT(slots.next({2, Long, Millis()}, now), Millis(2'000));
}

TEST(ReturnSlotsTest, waitIsBoundedByTheTimeThatIsLeft) {
  ReturnSlots slots;
  EXPECT_EQ(slots.next({0, Millis(3'000), Millis(5'000)}, Millis(9)),
            Millis(1'000));
  EXPECT_EQ(slots.next({0, Millis(90), Millis()}, Millis(9)), Millis(150));
}

TEST(ReturnSlotsTest, gatewaysSpreadTheirCallersByTheirPositions) {
  ReturnSlots first;
  ReturnSlots second;
  second.setPosition(0.5);
  const Millis now = warmUp(first);
  warmUp(second);
  EXPECT_NEAR(
      static_cast<double>(second.next({0, Long, Millis()}, now).count() -
                          first.next({0, Long, Millis()}, now).count()),
      50, 5);
}

// Callers that ignore Retry-After: guards against places that pile up unused,
// so that callers that wait for theirs return too late.
TEST(ReturnSlotsTest, callersThatIgnoreRetryAfterDoNotDelayOthersForLong) {
  ReturnSlots slots;
  Millis now = warmUp(slots);
  for (int n = 0; n < 2'000; ++n) {
    now = now + Millis(1);
    slots.next({0, Millis(6'000), Millis()}, now);
    if (n % 100 == 0)
      slots.onFirstToken(now);
  }
  EXPECT_LE(slots.next({0, Millis(6'000), Millis()}, now), Millis(2'000));
  EXPECT_EQ(slots.next({0, Millis(6'000), Millis()}, now + Millis(2'000)),
            Millis(150));
}

} // namespace
