#include "cowslipridge/http1/internal/Eviction.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::http1::internal;
using core::Millis;

namespace {

constexpr Millis Long{1'000};
constexpr Millis Short{100};

ConnectionState state(Occupation what, Millis withoutProgress,
                      std::size_t heldBytes = 0) {
  return {what, heldBytes, withoutProgress, withoutProgress};
}

TEST(EvictionTest, clientsThatAreWaitedForAreStalledWithoutProgress) {
  for (const auto it : {Occupation::Receiving, Occupation::Unread}) {
    EXPECT_TRUE(isStalled(state(it, Long)));
    EXPECT_FALSE(isStalled(state(it, Short)));
  }
  for (const auto it :
       {Occupation::Idle, Occupation::Serving, Occupation::Closing})
    EXPECT_FALSE(isStalled(state(it, Long)));
}

TEST(EvictionTest, placeOfAClosingConnectionIsTakenFirst) {
  EXPECT_EQ(chooseForPlace({state(Occupation::Idle, Long),
                            state(Occupation::Receiving, Long),
                            state(Occupation::Closing, Short)}),
            2U);
}

TEST(EvictionTest, placeOfAStalledClientIsTakenBeforeIdleOnes) {
  EXPECT_EQ(chooseForPlace({state(Occupation::Idle, Long * 2),
                            state(Occupation::Receiving, Long),
                            state(Occupation::Receiving, Short)}),
            1U);
}

TEST(EvictionTest, placeOfTheLongestIdleConnectionIsTaken) {
  EXPECT_EQ(chooseForPlace({state(Occupation::Idle, Short),
                            state(Occupation::Idle, Long),
                            state(Occupation::Receiving, Short)}),
            1U);
}

// Guards against a request that is cut off at its runner by other clients.
TEST(EvictionTest, connectionWithARequestInProgressIsNeverClosed) {
  const auto serving = state(Occupation::Serving, Long, 1'000);
  EXPECT_EQ(chooseForPlace({serving}), std::nullopt);
  EXPECT_EQ(chooseForBytes({serving}, 0), std::nullopt);
  EXPECT_EQ(chooseForBytes({serving, state(Occupation::Idle, Short, 1)}, 1),
            1U);
}

// Guards against a caller whose complete response is cut off while it reads it.
TEST(EvictionTest, responseThatIsBeingReadIsNotCutOff) {
  const auto reading = state(Occupation::Unread, Short, 1'000);
  EXPECT_EQ(chooseForPlace({reading}), std::nullopt);
  EXPECT_EQ(chooseForBytes({reading}, 1), std::nullopt);
  EXPECT_EQ(chooseForBytes({state(Occupation::Unread, Long, 1'000)}, 1), 0U);
}

TEST(EvictionTest, mostBytesForTheAgeAreFreedFirst) {
  EXPECT_EQ(chooseForBytes({state(Occupation::Receiving, Short, 5'000),
                            state(Occupation::Receiving, Long, 1'000),
                            state(Occupation::Unread, Long, 900)},
                           1),
            1U);
  EXPECT_EQ(chooseForBytes({state(Occupation::Receiving, Short, 5'000),
                            state(Occupation::Receiving, Long, 1'000)},
                           2'000),
            0U);
}

TEST(EvictionTest, connectionThatHoldsTooLittleIsLeft) {
  EXPECT_EQ(chooseForBytes({state(Occupation::Idle, Long, 10)}, 11),
            std::nullopt);
}

} // namespace
