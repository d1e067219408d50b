#include "cowslipridge/entry/UngradedAnswerTable.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using entry::UngradedAnswerTable;

namespace {

TEST(UngradedAnswerTable, completesAnObservationOnce) {
  UngradedAnswerTable table;
  route::GradeObservation answer;
  answer.RequestClass = "short";
  answer.CheckScore = 0.7;
  table.onAnswer(core::RequestId("r-1"), answer);
  const auto observation = table.onGrade({core::RequestId("r-1"), 0.9});
  ASSERT_TRUE(observation);
  EXPECT_EQ(observation->RequestClass, "short");
  EXPECT_DOUBLE_EQ(observation->Score, 0.9);
  EXPECT_FALSE(table.onGrade({core::RequestId("r-1"), 0.9}));
  EXPECT_FALSE(table.onGrade({core::RequestId("r-2"), 0.9}));
}

TEST(UngradedAnswerTable, evictsTheOldestAnswersFirst) {
  UngradedAnswerTable table;
  for (std::size_t n = 0; n <= UngradedAnswerTable::MaxAnswers; ++n)
    table.onAnswer(core::RequestId(std::to_string(n)), {});
  EXPECT_FALSE(table.onGrade({core::RequestId("0"), 1}));
  EXPECT_TRUE(table.onGrade({core::RequestId("1"), 1}));
}

} // namespace
