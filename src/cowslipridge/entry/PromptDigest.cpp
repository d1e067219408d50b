#include "cowslipridge/entry/PromptDigest.hpp"

#include <xxhash.h>

namespace cowslipridge::entry {

namespace {

/// Mean number of bytes per token in English prose.
constexpr std::uint64_t BytesPerToken = 4;
constexpr std::uint64_t MaxShortTokens = 512;
constexpr std::uint64_t MaxMediumTokens = 4'096;

std::string requestClassOf(std::uint64_t tokens) {
  if (tokens <= MaxShortTokens)
    return "short";
  return tokens <= MaxMediumTokens ? "medium" : "long";
}

} // namespace

PromptDigest digestPrompt(std::string_view prompt) {
  PromptDigest digest;
  digest.Tokens = (prompt.size() + BytesPerToken - 1) / BytesPerToken;
  digest.RequestClass = requestClassOf(digest.Tokens);
  std::uint64_t chained = 0;
  while (prompt.size() >= PrefixBlockBytes &&
         digest.PrefixHashes.size() < MaxPrefixBlocks) {
    chained = XXH3_64bits_withSeed(prompt.data(), PrefixBlockBytes, chained);
    digest.PrefixHashes.push_back(chained);
    prompt.remove_prefix(PrefixBlockBytes);
  }
  return digest;
}

} // namespace cowslipridge::entry
