#include "cowslipridge/core/Finding.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge::core;

namespace {

TEST(Finding, formatsLocationMessageAndSuggestion) {
  const Finding finding{.File = "desk.ini",
                        .Line = 7,
                        .Section = "service",
                        .Key = "deadline",
                        .Message = "unknown unit 'sec'",
                        .Suggestion = "30s"};
  EXPECT_EQ(toString(finding),
            "desk.ini:7: [service] deadline: unknown unit 'sec'; write 30s");
}

} // namespace
