#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::entry {

/// Number of prompt bytes that each prefix hash covers beyond the previous one.
constexpr std::size_t PrefixBlockBytes = 1'024;
/// Maximum length of the hashed prefix, in blocks.
constexpr std::size_t MaxPrefixBlocks = 128;

/// The attributes of a prompt that routing uses.
struct PromptDigest {
  std::uint64_t Tokens = 0; ///< estimate
  std::vector<std::uint64_t> PrefixHashes;
  std::string RequestClass; ///< `short`, `medium` or `long`
};

/// Returns the digest of a prompt: the text of all messages in order.
PromptDigest digestPrompt(std::string_view prompt);

} // namespace cowslipridge::entry
