#include "cowslipridge/route/ModelCascade.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;
using core::Millis;

namespace {

EscalationContext quiet(int confidence) {
  EscalationContext context;
  context.Confidence = confidence;
  context.Target = Millis(4'000);
  context.Deadline = Millis(12'000);
  context.Largest = {Millis(300), Millis(2'000)};
  return context;
}

/// The highest confidence with which the largest model is asked; -1: none.
int threshold(EscalationContext context) {
  int highest = -1;
  for (context.Confidence = 0; context.Confidence <= 100;
       ++context.Confidence) {
    if (shouldEscalate(context))
      highest = context.Confidence;
  }
  return highest;
}

TEST(ModelCascadeTest, quietRunnersTakeEveryDoubtfulRequest) {
  EXPECT_TRUE(shouldEscalate(quiet(10)));
  EXPECT_TRUE(shouldEscalate(quiet(45)));
  EXPECT_FALSE(shouldEscalate(quiet(90)));
}

TEST(ModelCascadeTest, underLoadOnlyTheMostDoubtfulGoOn) {
  EscalationContext context = quiet(0);
  int before = threshold(context);
  for (const int millis : {1'000, 2'000, 3'000, 3'900}) {
    context.Largest.FirstToken = Millis(millis);
    EXPECT_LE(threshold(context), before) << millis;
    before = threshold(context);
  }
  context.Largest.FirstToken = Millis(4'000);
  EXPECT_EQ(threshold(context), -1) << "it would be late";
}

TEST(ModelCascadeTest, anAnswerThatWouldBeCutIsNotAskedFor) {
  EscalationContext context = quiet(0);
  context.Largest.Completion = Millis(12'500);
  EXPECT_FALSE(shouldEscalate(context));
}

TEST(ModelCascadeTest, withoutTimeLeftTheAnswerIsKept) {
  EscalationContext context = quiet(0);
  context.Target = Millis(-5);
  EXPECT_FALSE(shouldEscalate(context));
}

} // namespace
