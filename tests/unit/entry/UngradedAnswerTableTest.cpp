#include "cowslipridge/entry/UngradedAnswerTable.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using entry::UngradedAnswerTable;

namespace {

TEST(UngradedAnswerTable, completesAnAnswerOnce) {
  UngradedAnswerTable book;
  route::GradeObservation answer;
  answer.RequestClass = "short";
  answer.CheckScore = 0.7;
  book.onAnswer(core::RequestId("r-1"), answer);
  const auto seen = book.onGrade({core::RequestId("r-1"), 0.9});
  ASSERT_TRUE(seen);
  EXPECT_EQ(seen->RequestClass, "short");
  EXPECT_DOUBLE_EQ(seen->Score, 0.9);
  EXPECT_FALSE(book.onGrade({core::RequestId("r-1"), 0.9}));
  EXPECT_FALSE(book.onGrade({core::RequestId("r-2"), 0.9}));
}

TEST(UngradedAnswerTable, forgetsTheOldestAnswersFirst) {
  UngradedAnswerTable book;
  for (std::size_t n = 0; n <= UngradedAnswerTable::MaxAnswers; ++n)
    book.onAnswer(core::RequestId(std::to_string(n)), {});
  EXPECT_FALSE(book.onGrade({core::RequestId("0"), 1}));
  EXPECT_TRUE(book.onGrade({core::RequestId("1"), 1}));
}

} // namespace
