#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::entry {

/// Bytes of prompt that one prefix hash covers beyond the one before.
constexpr std::size_t PrefixBlockBytes = 1'024;
/// Longest prefix that is hashed, in blocks.
constexpr std::size_t MaxPrefixBlocks = 128;

/// What routing needs to know of a prompt.
struct PromptDigest {
  std::uint64_t Tokens = 0; ///< estimate
  std::vector<std::uint64_t> PrefixHashes;
  std::string RequestClass; ///< `short`, `medium` or `long`
};

/// Digests the prompt's text, all messages in order.
PromptDigest digestPrompt(std::string_view prompt);

} // namespace cowslipridge::entry
