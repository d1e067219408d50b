#include "cowslipridge/limits/HedgePolicy.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;

namespace {

HedgePolicy makeTimedPolicy() {
  HedgePolicy policy;
  for (int n = 0; n < 100; ++n)
    policy.observe(core::Millis(100));
  return policy;
}

PendingCall makeLateCall() {
  return {true, false, false, core::Millis(500), core::Millis(5'000)};
}

TEST(HedgePolicy, hedgesOnlyIdempotentCallsAndOnlyOnce) {
  const HedgePolicy policy = makeTimedPolicy();
  RetryBudget budget({0.1, 20});
  EXPECT_TRUE(policy.shouldHedge(makeLateCall(), budget));
  PendingCall call = makeLateCall();
  call.Idempotent = false;
  EXPECT_FALSE(policy.shouldHedge(call, budget));
  call = makeLateCall();
  call.AlreadyHedged = true;
  EXPECT_FALSE(policy.shouldHedge(call, budget));
  call = makeLateCall();
  call.FirstTokenSeen = true;
  EXPECT_FALSE(policy.shouldHedge(call, budget));
}

TEST(HedgePolicy, doesNotHedgeBeforeTheDelay) {
  const HedgePolicy policy = makeTimedPolicy();
  RetryBudget budget({0.1, 20});
  PendingCall call = makeLateCall();
  call.Elapsed = policy.delay() - core::Millis(1);
  EXPECT_FALSE(policy.shouldHedge(call, budget));
}

TEST(HedgePolicy, staysWithinTheRetryBudget) {
  const HedgePolicy policy = makeTimedPolicy();
  RetryBudget budget({0.1, 2});
  int hedged = 0;
  for (int n = 0; n < 50; ++n)
    hedged += policy.shouldHedge(makeLateCall(), budget);
  EXPECT_EQ(hedged, 2);
}

} // namespace
