#include "cowslipridge/limits/RunnerBackoff.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

const core::RunnerId Runner("a");
constexpr Millis Start{500}; // of the runner

TEST(RunnerBackoffTest, lastsForTheTimeThatTheRunnerNamed) {
  RunnerBackoff backoff;
  EXPECT_EQ(backoff.onRejected(Runner, Start, Millis(700), Millis(1'000)),
            (BackoffRequest{Runner, Millis(700)}));
  EXPECT_EQ(backoff.remaining(Runner, Start, Millis(1'000)), Millis(700));
  EXPECT_EQ(backoff.remaining(Runner, Start, Millis(1'699)), Millis(1));
  EXPECT_EQ(backoff.remaining(Runner, Start, Millis(1'700)), Millis(0));
  EXPECT_EQ(backoff.remaining(core::RunnerId("b"), Start, Millis(1'000)),
            Millis(0));
}

// Requests that were on their way at the same time are rejected together.
TEST(RunnerBackoffTest, laterRejectionExtendsTheBackoffAndNeverShortensIt) {
  RunnerBackoff backoff;
  backoff.onRejected(Runner, Start, Millis(700), Millis(1'000));
  EXPECT_EQ(backoff.onRejected(Runner, Start, Millis(100), Millis(1'010)),
            std::nullopt);
  EXPECT_EQ(backoff.remaining(Runner, Start, Millis(1'010)), Millis(690));
  backoff.onRejected(Runner, Start, Millis(900), Millis(1'100));
  EXPECT_EQ(backoff.remaining(Runner, Start, Millis(1'100)), Millis(900));
}

TEST(RunnerBackoffTest, boundsUnreasonableTimes) {
  RunnerBackoff backoff;
  EXPECT_EQ(backoff.onRejected(Runner, Start, Millis(-5), Millis(0)),
            std::nullopt);
  EXPECT_EQ(backoff.onRejected(Runner, Start, Millis(0), Millis(0)),
            std::nullopt);
  backoff.onRejected(Runner, Start, Millis(86'400'000), Millis(0));
  EXPECT_EQ(backoff.remaining(Runner, Start, Millis(0)),
            RunnerBackoff::MaxDuration);
}

TEST(RunnerBackoffTest, holdsForOneIncarnationOnly) {
  constexpr Millis Restart{900};
  RunnerBackoff backoff;
  backoff.onRejected(Runner, Start, Millis(700), Millis(1'000));
  EXPECT_EQ(backoff.remaining(Runner, Restart, Millis(1'000)), Millis(0));
  EXPECT_EQ(backoff.onRejected(Runner, Restart, Millis(100), Millis(1'010)),
            (BackoffRequest{Runner, Millis(100)}));
  EXPECT_EQ(backoff.remaining(Runner, Restart, Millis(1'010)), Millis(100));
}

TEST(RunnerBackoffTest, keepsNoBackoffThatIsOver) {
  RunnerBackoff backoff;
  backoff.onRejected(Runner, Start, Millis(700), Millis(1'000));
  backoff.tick(Millis(1'699));
  EXPECT_EQ(backoff.size(), 1U);
  backoff.tick(Millis(1'700));
  EXPECT_EQ(backoff.size(), 0U);
}

} // namespace
