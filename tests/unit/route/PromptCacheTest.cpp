#include "cowslipridge/route/PromptCache.hpp"

#include <gtest/gtest.h>

#include <map>

using namespace cowslipridge;
using namespace cowslipridge::route;

namespace {

std::vector<CacheBlock> promptOf(const std::string &model,
                                 const std::vector<std::uint64_t> &ids) {
  std::vector<CacheBlock> prompt;
  std::uint64_t hash = PromptCache::seedOf(model);
  for (const std::uint64_t id : ids) {
    prompt.push_back(PromptCache::chain(hash, id, 100));
    hash = prompt.back().Hash;
  }
  return prompt;
}

const core::RunnerId Runner("r");

TEST(PromptCacheTest, countsOnlyThePrefixOfTheSameModel) {
  PromptCache cache(100);
  cache.recordPrompt(promptOf("m", {1, 2, 3}), Runner);
  EXPECT_EQ(cache.cachedTokens(promptOf("m", {1, 2, 9}), Runner), 200U);
  EXPECT_EQ(cache.cachedTokens(promptOf("m", {2, 3}), Runner), 0U);
  EXPECT_EQ(cache.cachedTokens(promptOf("other", {1, 2}), Runner), 0U);
  EXPECT_EQ(cache.cachedTokens(promptOf("m", {1}), core::RunnerId("q")), 0U);
  cache.removeRunner(Runner);
  EXPECT_EQ(cache.cachedTokens(promptOf("m", {1}), Runner), 0U);
}

TEST(PromptCacheTest,
     rendezvousWeightsAreBalancedAndStableWhenARunnerIsRemoved) {
  std::vector<core::RunnerId> runners;
  runners.reserve(10);
  for (int n = 0; n < 10; ++n)
    runners.emplace_back("runner-" + std::to_string(n));
  const auto preferred = [&](std::uint64_t block, std::size_t count) {
    std::size_t best = 0;
    for (std::size_t n = 1; n < count; ++n) {
      if (PromptCache::rendezvousWeight(block, runners[n]) >
          PromptCache::rendezvousWeight(block, runners[best]))
        best = n;
    }
    return best;
  };
  std::map<std::size_t, int> counts;
  int moved = 0;
  constexpr int Blocks = 2'000;
  for (std::uint64_t block = 0; block < Blocks; ++block) {
    const std::uint64_t hash = PromptCache::chain(0, block, 1).Hash;
    ++counts[preferred(hash, 10)];
    if (preferred(hash, 10) != 9 && preferred(hash, 10) != preferred(hash, 9))
      ++moved;
  }
  EXPECT_EQ(moved, 0);
  for (const auto &[runner, n] : counts)
    EXPECT_NEAR(n, Blocks * 0.1, Blocks * 0.04) << runner;
}

} // namespace
