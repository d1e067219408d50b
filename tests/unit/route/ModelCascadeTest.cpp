#include "cowslipridge/route/ModelCascade.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;
using core::Millis;

namespace {

EscalationContext quiet(int confidence) {
  EscalationContext facts;
  facts.Confidence = confidence;
  facts.Target = Millis(4'000);
  facts.Deadline = Millis(12'000);
  facts.Largest = {Millis(300), Millis(2'000)};
  return facts;
}

/// The highest confidence with which the largest model is asked; -1: none.
int threshold(EscalationContext facts) {
  int highest = -1;
  for (facts.Confidence = 0; facts.Confidence <= 100; ++facts.Confidence) {
    if (shouldEscalate(facts))
      highest = facts.Confidence;
  }
  return highest;
}

TEST(ModelCascadeTest, quietRunnersTakeEveryDoubtfulRequest) {
  EXPECT_TRUE(shouldEscalate(quiet(10)));
  EXPECT_TRUE(shouldEscalate(quiet(45)));
  EXPECT_FALSE(shouldEscalate(quiet(90)));
}

TEST(ModelCascadeTest, underLoadOnlyTheMostDoubtfulGoOn) {
  EscalationContext facts = quiet(0);
  int before = threshold(facts);
  for (const int millis : {1'000, 2'000, 3'000, 3'900}) {
    facts.Largest.FirstToken = Millis(millis);
    EXPECT_LE(threshold(facts), before) << millis;
    before = threshold(facts);
  }
  facts.Largest.FirstToken = Millis(4'000);
  EXPECT_EQ(threshold(facts), -1) << "it would be late";
}

TEST(ModelCascadeTest, anAnswerThatWouldBeCutIsNotAskedFor) {
  EscalationContext facts = quiet(0);
  facts.Largest.Completion = Millis(12'500);
  EXPECT_FALSE(shouldEscalate(facts));
}

TEST(ModelCascadeTest, withoutTimeLeftTheAnswerIsKept) {
  EscalationContext facts = quiet(0);
  facts.Target = Millis(-5);
  EXPECT_FALSE(shouldEscalate(facts));
}

} // namespace
