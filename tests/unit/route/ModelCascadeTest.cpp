#include "cowslipridge/route/ModelCascade.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;
using core::Millis;

namespace {

EscalationContext makeIdleContext(int confidence) {
  EscalationContext context;
  context.Confidence = confidence;
  context.Target = Millis(4'000);
  context.Deadline = Millis(12'000);
  context.Largest = {Millis(300), Millis(2'000)};
  return context;
}

/// Returns the highest confidence that is escalated, or -1 if none is.
int highestEscalated(EscalationContext context) {
  int highest = -1;
  for (context.Confidence = 0; context.Confidence <= 100;
       ++context.Confidence) {
    if (shouldEscalate(context))
      highest = context.Confidence;
  }
  return highest;
}

TEST(ModelCascadeTest, escalatesEveryLowConfidenceAnswerWhileRunnersAreIdle) {
  EXPECT_TRUE(shouldEscalate(makeIdleContext(10)));
  EXPECT_TRUE(shouldEscalate(makeIdleContext(45)));
  EXPECT_FALSE(shouldEscalate(makeIdleContext(90)));
}

TEST(ModelCascadeTest, escalatesFewerAnswersAsTheLargestModelSlowsDown) {
  EscalationContext context = makeIdleContext(0);
  int before = highestEscalated(context);
  for (const int millis : {1'000, 2'000, 3'000, 3'900}) {
    context.Largest.FirstToken = Millis(millis);
    EXPECT_LE(highestEscalated(context), before) << millis;
    before = highestEscalated(context);
  }
  context.Largest.FirstToken = Millis(4'000);
  EXPECT_EQ(highestEscalated(context), -1) << "the answer would be late";
}

TEST(ModelCascadeTest, doesNotEscalateWhenTheAnswerWouldMissTheDeadline) {
  EscalationContext context = makeIdleContext(0);
  context.Largest.Completion = Millis(12'500);
  EXPECT_FALSE(shouldEscalate(context));
}

TEST(ModelCascadeTest, doesNotEscalateAfterTheTargetHasPassed) {
  EscalationContext context = makeIdleContext(0);
  context.Target = Millis(-5);
  EXPECT_FALSE(shouldEscalate(context));
}

} // namespace
