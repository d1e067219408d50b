#include "cowslipridge/gateway/PromptLocation.hpp"

#include <gtest/gtest.h>

#include <string>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using route::CacheBlock;
using route::PromptCache;

namespace {

class PromptLocationTest : public testing::Test {
protected:
  PromptLocationTest() {
    for (int n = 0; n < 8; ++n) {
      Entries[n].Id = core::RunnerId("runner-" + std::to_string(n));
      Servers.push_back(&Entries[n]);
    }
  }

  static std::vector<CacheBlock> promptOf(std::uint64_t subject,
                                          std::uint64_t request) {
    const CacheBlock kind =
        PromptCache::chain(PromptCache::seedOf("large"), 1, 500);
    const CacheBlock shared = PromptCache::chain(kind.Hash, subject, 5'000);
    return {kind, shared, PromptCache::chain(shared.Hash, request, 700)};
  }
  [[nodiscard]] PromptLocation locate(std::uint64_t subject,
                                      std::uint64_t request) const {
    return {Cache, promptOf(subject, request), 0, Servers};
  }

  std::array<membership::BackendServer, 8> Entries;
  ServerList Servers;
  PromptCache Cache{1'000};
};

TEST_F(PromptLocationTest, expectsSharedPartAtThePreferredRunner) {
  const PromptLocation location = locate(7, 1'001);
  ASSERT_NE(location.preferred(), nullptr);
  const std::uint64_t expected = location.cachedTokens(*location.preferred());
  EXPECT_GT(expected, 4'000U);
  EXPECT_LT(expected, 5'500U) << "it may not have it yet";
  EXPECT_EQ(location.largestHolder(Servers).Server, location.preferred());
  EXPECT_EQ(locate(7, 1'002).preferred(), location.preferred())
      << "all requests about one subject";
}

TEST_F(PromptLocationTest, knownHolderOfTheWholePromptComesFirst) {
  const auto *other =
      locate(7, 1'001).preferred() == Servers[3] ? Servers[4] : Servers[3];
  Cache.recordPrompt(promptOf(7, 1'001), other->Id);
  const PromptLocation location = locate(7, 1'001);
  EXPECT_EQ(location.cachedTokens(*other), 6'200U);
  EXPECT_EQ(location.largestHolder(Servers).Server, other);
  EXPECT_EQ(locate(7, 1'002).cachedTokens(*other), 5'500U)
      << "another request shares all but its own part";
}

TEST_F(PromptLocationTest, emptyPromptIsAtNoRunner) {
  const PromptLocation location(Cache, {}, 42, Servers);
  EXPECT_TRUE(location.isEmpty());
  EXPECT_NE(location.preferred(), nullptr);
  for (const auto *it : Servers)
    EXPECT_EQ(location.cachedTokens(*it), 0U);
  EXPECT_EQ(location.largestHolder(Servers).Server, nullptr);
}

} // namespace
