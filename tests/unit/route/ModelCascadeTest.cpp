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
  context.Larger = {.FirstToken = Millis(300),
                    .Waiting = Millis(0),
                    .Completion = Millis(2'000)};
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
  const Millis ownTime = context.Larger.FirstToken;
  for (const int millis : {1'000, 2'000, 3'000, 3'900}) {
    context.Larger.FirstToken = Millis(millis);
    context.Larger.Waiting = Millis(millis) - ownTime;
    EXPECT_LE(highestEscalated(context), before) << millis;
    before = highestEscalated(context);
  }
  EXPECT_EQ(before, -1) << "the wait takes nearly all of the time";
  context.Larger.FirstToken = Millis(4'000);
  EXPECT_EQ(highestEscalated(context), -1) << "the answer would be late";
}

// Pattern: the largest prompts take a good part of the target by themselves, on
// runners with nothing else to do.
TEST(ModelCascadeTest, escalatesLargePromptsLikeSmallOnesWhileRunnersAreIdle) {
  const int small = highestEscalated(makeIdleContext(0));
  EscalationContext context = makeIdleContext(0);
  context.Larger.FirstToken = Millis(3'000);
  context.Larger.Waiting = Millis(50);
  EXPECT_EQ(highestEscalated(context), small);
  context.Larger.FirstToken = Millis(3'500);
  context.Larger.Waiting = Millis(500);
  EXPECT_LT(highestEscalated(context), small);
}

TEST(ModelCascadeTest, doesNotEscalateWhenTheAnswerWouldMissTheDeadline) {
  EscalationContext context = makeIdleContext(0);
  context.Larger.Completion = Millis(12'500);
  EXPECT_FALSE(shouldEscalate(context));
}

TEST(ModelCascadeTest, doesNotEscalateAfterTheTargetHasPassed) {
  EscalationContext context = makeIdleContext(0);
  context.Target = Millis(-5);
  EXPECT_FALSE(shouldEscalate(context));
}

// Both models doubt a little; each alone would be escalated.
TEST(ModelCascadeTest, secondModelNeedsLessConfidenceThanTheFirst) {
  EXPECT_TRUE(isLowConfidence(55));
  EXPECT_FALSE(isLowConfidence(confidenceOfSecondModel(55)));
  EXPECT_TRUE(isLowConfidence(confidenceOfSecondModel(40)));
  EXPECT_EQ(confidenceOfSecondModel(100), 100);
}

TEST(ModelCascadeTest, onlyNearlyConfidentAnswersAreWithinReachOfNextModel) {
  EXPECT_TRUE(isWithinReachOfNextModel(55));
  EXPECT_FALSE(isWithinReachOfNextModel(10));
}

TEST(ModelCascadeTest, nextModelMayHelpWhereItIsNotTheFirstChoice) {
  EXPECT_TRUE(mayBeWithinReachOfNextModel(30));
  EXPECT_FALSE(isWithinReachOfNextModel(30));
  EXPECT_FALSE(mayBeWithinReachOfNextModel(5));
}

} // namespace
