#include "cowslipridge/limits/Ejections.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

const core::RunnerId Runner("r");

TEST(EjectionsTest, ejectsUnreachableRunnerAtOnceAndReadmitsIt) {
  Ejections ejections;
  ejections.onUnreachable(Runner, Millis(0));
  EXPECT_TRUE(ejections.isEjected(Runner, Millis(1)));
  EXPECT_FALSE(ejections.isEjected(Runner, Millis(60'000)));
}

TEST(EjectionsTest, failuresBetweenSuccessesDoNotEject) {
  Ejections ejections;
  for (int n = 0; n < 10; ++n) {
    ejections.onFailure(Runner, Millis(n));
    ejections.onFailure(Runner, Millis(n));
    ejections.onSuccess(Runner);
  }
  EXPECT_FALSE(ejections.isEjected(Runner, Millis(11)));
}

TEST(EjectionsTest, consecutiveFailuresEjectForLongerEachTime) {
  Ejections ejections;
  Millis now(0);
  Millis last(0);
  for (int round = 0; round < 3; ++round) {
    for (int n = 0; n < 3; ++n)
      ejections.onFailure(Runner, now);
    ASSERT_TRUE(ejections.isEjected(Runner, now));
    const Millis start = now;
    while (ejections.isEjected(Runner, now))
      now = now + Millis(10);
    EXPECT_GT(now - start, last);
    last = now - start;
  }
}

TEST(EjectionsTest, reportsEachChangeOnce) {
  Ejections ejections;
  EXPECT_FALSE(ejections.onSuccess(Runner));
  const auto ejection = ejections.onUnreachable(Runner, Millis(100));
  ASSERT_TRUE(ejection);
  EXPECT_TRUE(ejection->isEjected());
  EXPECT_EQ(ejection->ConsecutiveEjections, 1U);
  EXPECT_FALSE(ejections.onUnreachable(Runner, Millis(101)));
  EXPECT_EQ(ejections.onSuccess(Runner), (EjectionChange{Runner, Millis(), 1}));
  EXPECT_FALSE(ejections.onSuccess(Runner));
}

TEST(EjectionsTest, simultaneousFailuresCountAsOneEjection) {
  Ejections ejections;
  for (int n = 0; n < 50; ++n)
    ejections.onUnreachable(Runner, Millis(n));
  EXPECT_FALSE(ejections.isEjected(Runner, Millis(2'000)));
}

} // namespace
