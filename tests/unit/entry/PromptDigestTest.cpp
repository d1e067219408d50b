#include "cowslipridge/entry/PromptDigest.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge::entry;

namespace {

TEST(PromptDigest, sharedPrefixesShareHashes) {
  const std::string guide(3 * PrefixBlockBytes, 'g');
  const PromptDigest one = digestPrompt(guide + std::string(2'000, 'a'));
  const PromptDigest two = digestPrompt(guide + std::string(2'000, 'b'));
  ASSERT_EQ(one.PrefixHashes.size(), 4U);
  ASSERT_EQ(two.PrefixHashes.size(), 4U);
  for (int n = 0; n < 3; ++n)
    EXPECT_EQ(one.PrefixHashes[n], two.PrefixHashes[n]);
  EXPECT_NE(one.PrefixHashes[3], two.PrefixHashes[3]);
}

TEST(PromptDigest, eachHashCoversAllBlocksBefore) {
  const std::string block(PrefixBlockBytes, 'x');
  const PromptDigest it = digestPrompt(block + block);
  EXPECT_NE(it.PrefixHashes[0], it.PrefixHashes[1]);
}

TEST(PromptDigest, boundsTheNumberOfHashes) {
  const std::string text(2 * MaxPrefixBlocks * PrefixBlockBytes, 'x');
  EXPECT_EQ(digestPrompt(text).PrefixHashes.size(), MaxPrefixBlocks);
}

TEST(PromptDigest, classifiesByLength) {
  EXPECT_EQ(digestPrompt("hello").RequestClass, "short");
  EXPECT_EQ(digestPrompt(std::string(8'000, 'x')).RequestClass, "medium");
  EXPECT_EQ(digestPrompt(std::string(80'000, 'x')).RequestClass, "long");
}

} // namespace
