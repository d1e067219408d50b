#include "cowslipridge/route/PromptCache.hpp"

#include <xxhash.h>

#include <array>

namespace cowslipridge::route {

namespace {

std::uint64_t hashOf(std::uint64_t a, std::uint64_t b) {
  const std::array<std::uint64_t, 2> words{a, b};
  return XXH64(words.data(), sizeof(words), 0);
}

} // namespace

CacheBlock PromptCache::chain(std::uint64_t previous, std::uint64_t id,
                              std::uint64_t tokens) {
  return {hashOf(previous, id), tokens};
}

std::uint64_t PromptCache::seedOf(std::string_view model) {
  return XXH64(model.data(), model.size(), 0);
}

std::uint64_t PromptCache::rendezvousWeight(std::uint64_t block,
                                            const core::RunnerId &runner) {
  return XXH64(runner.str().data(), runner.str().size(), block);
}

void PromptCache::recordPrompt(const std::vector<CacheBlock> &prompt,
                               const core::RunnerId &runner) {
  for (const CacheBlock &block : prompt)
    Index.insert(block.Hash, runner);
}

std::uint64_t PromptCache::cachedTokens(const std::vector<CacheBlock> &prompt,
                                        const core::RunnerId &runner) const {
  std::vector<std::uint64_t> hashes;
  hashes.reserve(prompt.size());
  for (const CacheBlock &block : prompt)
    hashes.push_back(block.Hash);
  const std::size_t cachedBlocks = Index.matchedBlocks(hashes, runner);
  std::uint64_t tokens = 0;
  for (std::size_t n = 0; n < cachedBlocks; ++n)
    tokens += prompt[n].Tokens;
  return tokens;
}

} // namespace cowslipridge::route
