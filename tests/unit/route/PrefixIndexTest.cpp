#include "cowslipridge/route/PrefixIndex.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;

namespace {

const core::RunnerId A("a");
const core::RunnerId B("b");

TEST(PrefixIndex, matchesUpToTheLastBlockHeld) {
  PrefixIndex index(100);
  index.insert(1, A);
  index.insert(3, A);
  EXPECT_EQ(index.matchedBlocks({1, 2, 3, 4}, A), 3U);
  EXPECT_EQ(index.matchedBlocks({1, 2, 3, 4}, B), 0U);
}

TEST(PrefixIndex, erasesBlocksAndRunners) {
  PrefixIndex index(100);
  index.insert(1, A);
  index.insert(1, B);
  index.insert(2, A);
  index.erase(2, A);
  EXPECT_EQ(index.matchedBlocks({1, 2}, A), 1U);
  index.eraseRunner(A);
  EXPECT_EQ(index.matchedBlocks({1, 2}, A), 0U);
  EXPECT_EQ(index.matchedBlocks({1, 2}, B), 1U);
  EXPECT_EQ(index.size(), 1U);
}

TEST(PrefixIndex, evictsTheLeastRecentlyUsedBlockAboveItsLimit) {
  PrefixIndex index(2);
  index.insert(1, A);
  index.insert(2, A);
  index.insert(1, A);
  index.insert(3, A);
  EXPECT_EQ(index.size(), 2U);
  EXPECT_EQ(index.matchedBlocks({1}, A), 1U);
  EXPECT_EQ(index.matchedBlocks({2}, A), 0U);
}

} // namespace
