#include "cowslipridge/limits/RetryWindow.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

/// Acquires a retry that arrives at once.
bool acquire(RetryWindow &window, Millis now) {
  static std::uint64_t attempts = 0;
  if (!window.tryAcquire({++attempts, std::nullopt}, now))
    return false;
  window.onSettled(attempts, now);
  return true;
}

/// Returns the number of retries that the window grants at `now`.
int granted(RetryWindow &window, Millis now) {
  int n = 0;
  while (n < 10'000 && acquire(window, now))
    ++n;
  return n;
}

TEST(RetryWindowTest, membersTogetherStayWithinFleetBudget) {
  constexpr std::size_t Members = 4;
  constexpr int FirstAttemptsPerMember = 25;
  const RetryWindowSettings settings{0.5, 20, Millis(1'000)};
  int total = 0;
  for (std::size_t n = 0; n < Members; ++n) {
    RetryWindow window(settings);
    window.setMembers(Members);
    for (int first = 0; first < FirstAttemptsPerMember; ++first)
      window.onFirstAttempt(Millis(0));
    total += granted(window, Millis(1));
  }
  EXPECT_LE(total, 0.5 * FirstAttemptsPerMember * Members + 20);
  EXPECT_GT(total, 0.5 * (0.5 * FirstAttemptsPerMember * Members + 20));
}

TEST(RetryWindowTest, reportsRemainingRetries) {
  RetryWindow window({1, 10, Millis(1'000)});
  const double before = window.remaining(Millis(0));
  ASSERT_TRUE(acquire(window, Millis(0)));
  EXPECT_EQ(window.remaining(Millis(0)), before - 1);
  granted(window, Millis(0));
  EXPECT_LT(window.remaining(Millis(0)), 1);
  EXPECT_EQ(window.remaining(Millis(2'000)), before);
}

TEST(RetryWindowTest, firstAttemptsExpireWithTheWindow) {
  RetryWindow window({1, 0, Millis(1'000)});
  for (int n = 0; n < 10; ++n)
    window.onFirstAttempt(Millis(0));
  EXPECT_GT(granted(window, Millis(500)), 0);
  EXPECT_EQ(granted(window, Millis(1'001)), 0);
}

// Guards against fixed retries that are granted more than once: a member that
// the others no longer count kept its part of them.
TEST(RetryWindowTest, memberHasItsPartOnlyWhileItIsRegistered) {
  const RetryWindowSettings settings{0, 10, Millis(1'000)};
  RetryWindow window(settings, Registration{Millis(500), Millis(4'500)});
  EXPECT_EQ(granted(window, Millis(1'499)), 0) << "within its first window";
  EXPECT_GT(granted(window, Millis(1'500)), 0);
  EXPECT_GT(granted(window, Millis(4'499)), 0);
  EXPECT_EQ(granted(window, Millis(6'000)), 0) << "it may be removed";
  window.setRegistration({Millis(500), Millis(9'000)});
  EXPECT_GT(granted(window, Millis(6'000)), 0) << "it was registered all along";
  window.setRegistration({Millis(8'000), Millis(12'000)});
  EXPECT_EQ(granted(window, Millis(8'500)), 0) << "it was removed meanwhile";
}

class RetryArrivalTest : public testing::Test {
protected:
  static constexpr Millis Length{1'000};
  const core::RunnerId Frozen{"frozen"};
  const core::RunnerId Sound{"sound"};

  /// Returns whether the only retry counts at `now`.
  bool counts(Millis now) { return Window.state(now).Retries == 1; }

  RetryWindow Window{{0, 100, Length}};
};

// Guards against repeats of more than a window that arrive within one: a runner
// that stood still receives at once what was sent to it meanwhile.
TEST_F(RetryArrivalTest, retryCountsUntilWhatItRepeatsHasArrived) {
  ASSERT_TRUE(Window.tryAcquire({1, Frozen}, Millis(0)));
  Window.onSettled(1, Millis(10));
  EXPECT_TRUE(counts(Millis(9'000))) << "the earlier attempt may arrive";
  Window.onResponse(Sound, Millis(9'000), Millis(9'010));
  Window.onResponse(Frozen, Millis(-1), Millis(9'010));
  EXPECT_TRUE(counts(Millis(11'000))) << "no response to what came later";
  Window.onResponse(Frozen, Millis(11'000), Millis(11'010));
  EXPECT_TRUE(counts(Millis(12'000)));
  EXPECT_FALSE(counts(Millis(12'100)));
}

TEST_F(RetryArrivalTest, retryCountsUntilItHasArrivedItself) {
  ASSERT_TRUE(Window.tryAcquire({1, std::nullopt}, Millis(0)));
  EXPECT_TRUE(counts(Millis(5'000)));
  Window.onUnanswered(1, Frozen);
  EXPECT_TRUE(counts(Millis(9'000)));
  Window.onResponse(Frozen, Millis(9'000), Millis(9'010));
  EXPECT_FALSE(counts(Millis(10'100)));
}

TEST_F(RetryArrivalTest, answeredRetryCountsForAWindow) {
  ASSERT_TRUE(Window.tryAcquire({1, std::nullopt}, Millis(0)));
  Window.onSettled(1, Millis(400));
  EXPECT_TRUE(counts(Millis(1'400)));
  EXPECT_FALSE(counts(Millis(1'401)));
}

TEST_F(RetryArrivalTest, runnerThatNeverRespondsIsForgotten) {
  ASSERT_TRUE(Window.tryAcquire({1, Frozen}, Millis(0)));
  EXPECT_FALSE(counts(Millis(100'000)));
}

} // namespace
