#include "cowslipridge/limits/RunnerBackoff.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

const core::RunnerId Runner("a");

TEST(RunnerBackoffTest, lastsForTheTimeThatTheRunnerNamed) {
  RunnerBackoff backoff;
  EXPECT_EQ(backoff.onRejected(Runner, Millis(700), Millis(1'000)),
            (BackoffRequest{Runner, Millis(700)}));
  EXPECT_EQ(backoff.remaining(Runner, Millis(1'000)), Millis(700));
  EXPECT_EQ(backoff.remaining(Runner, Millis(1'699)), Millis(1));
  EXPECT_EQ(backoff.remaining(Runner, Millis(1'700)), Millis(0));
  EXPECT_EQ(backoff.remaining(core::RunnerId("b"), Millis(1'000)), Millis(0));
}

// Requests that were on their way at the same time are rejected together.
TEST(RunnerBackoffTest, laterRejectionExtendsTheBackoffAndNeverShortensIt) {
  RunnerBackoff backoff;
  backoff.onRejected(Runner, Millis(700), Millis(1'000));
  EXPECT_EQ(backoff.onRejected(Runner, Millis(100), Millis(1'010)),
            std::nullopt);
  EXPECT_EQ(backoff.remaining(Runner, Millis(1'010)), Millis(690));
  backoff.onRejected(Runner, Millis(900), Millis(1'100));
  EXPECT_EQ(backoff.remaining(Runner, Millis(1'100)), Millis(900));
}

TEST(RunnerBackoffTest, boundsUnreasonableTimes) {
  RunnerBackoff backoff;
  EXPECT_EQ(backoff.onRejected(Runner, Millis(-5), Millis(0)), std::nullopt);
  EXPECT_EQ(backoff.onRejected(Runner, Millis(0), Millis(0)), std::nullopt);
  backoff.onRejected(Runner, Millis(86'400'000), Millis(0));
  EXPECT_EQ(backoff.remaining(Runner, Millis(0)), RunnerBackoff::MaxDuration);
}

TEST(RunnerBackoffTest, forgetsARunnerThatWasRemoved) {
  RunnerBackoff backoff;
  backoff.onRejected(Runner, Millis(700), Millis(0));
  backoff.removeRunner(Runner);
  EXPECT_EQ(backoff.remaining(Runner, Millis(1)), Millis(0));
}

} // namespace
