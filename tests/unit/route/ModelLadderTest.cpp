#include "cowslipridge/route/ModelLadder.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;
using core::Millis;

namespace {

LadderFacts quiet(int confidence) {
  LadderFacts facts;
  facts.Confidence = confidence;
  facts.Target = Millis(4'000);
  facts.Deadline = Millis(12'000);
  facts.Largest = {Millis(300), Millis(2'000)};
  return facts;
}

/// The highest confidence with which the largest model is asked; -1: none.
int threshold(LadderFacts facts) {
  int highest = -1;
  for (facts.Confidence = 0; facts.Confidence <= 100; ++facts.Confidence) {
    if (asksLargest(facts))
      highest = facts.Confidence;
  }
  return highest;
}

TEST(ModelLadderTest, quietRunnersTakeEveryDoubtfulRequest) {
  EXPECT_TRUE(asksLargest(quiet(10)));
  EXPECT_TRUE(asksLargest(quiet(45)));
  EXPECT_FALSE(asksLargest(quiet(90)));
}

TEST(ModelLadderTest, underLoadOnlyTheMostDoubtfulGoOn) {
  LadderFacts facts = quiet(0);
  int before = threshold(facts);
  for (const int millis : {1'000, 2'000, 3'000, 3'900}) {
    facts.Largest.FirstToken = Millis(millis);
    EXPECT_LE(threshold(facts), before) << millis;
    before = threshold(facts);
  }
  facts.Largest.FirstToken = Millis(4'000);
  EXPECT_EQ(threshold(facts), -1) << "it would be late";
}

TEST(ModelLadderTest, anAnswerThatWouldBeCutIsNotAskedFor) {
  LadderFacts facts = quiet(0);
  facts.Largest.Whole = Millis(12'500);
  EXPECT_FALSE(asksLargest(facts));
}

TEST(ModelLadderTest, withoutTimeLeftTheAnswerIsKept) {
  LadderFacts facts = quiet(0);
  facts.Target = Millis(-5);
  EXPECT_FALSE(asksLargest(facts));
}

} // namespace
