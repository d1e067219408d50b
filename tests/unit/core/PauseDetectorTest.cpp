#include "cowslipridge/core/PauseDetector.hpp"

#include <gtest/gtest.h>

using cowslipridge::core::Millis;
using cowslipridge::core::PauseDetector;

namespace {

TEST(PauseDetector, reportsOnlyGapsOverTheLimit) {
  PauseDetector pauses(Millis(500));
  EXPECT_EQ(pauses.tick(Millis(10'000)), std::nullopt);
  EXPECT_EQ(pauses.tick(Millis(10'500)), std::nullopt);
  EXPECT_EQ(pauses.tick(Millis(11'001)), Millis(501));
  EXPECT_EQ(pauses.tick(Millis(11'026)), std::nullopt);
}

} // namespace
