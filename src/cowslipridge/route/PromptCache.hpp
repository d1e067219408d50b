#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/route/PrefixIndex.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cowslipridge::route {

/// One leading part of a prompt, for one model.
struct CacheBlock {
  std::uint64_t Hash = 0; ///< covers the model and all parts up to this one
  std::uint64_t Tokens = 0;
};

/// Which leading parts of prompts each runner probably keeps in its memory, and
/// where a part that nobody keeps belongs.
class PromptCache {
public:
  explicit PromptCache(std::size_t maxBlocks) : Index(maxBlocks) {}

  /// Extends a chain of blocks by the part `id`.
  static CacheBlock chain(std::uint64_t previous, std::uint64_t id,
                          std::uint64_t tokens);
  /// The start of each chain of a model.
  static std::uint64_t seedOf(std::string_view model);
  /// Of several runners, the one where a block belongs has the highest weight;
  /// all gateways agree on it without talking to each other.
  static std::uint64_t rendezvousWeight(std::uint64_t block,
                                        const core::RunnerId &runner);

  void recordPrompt(const std::vector<CacheBlock> &prompt,
                    const core::RunnerId &runner);
  /// Leading tokens of the prompt that the runner need not read again.
  [[nodiscard]] std::uint64_t
  cachedTokens(const std::vector<CacheBlock> &prompt,
               const core::RunnerId &runner) const;
  void removeRunner(const core::RunnerId &runner) { Index.eraseRunner(runner); }

private:
  PrefixIndex Index;
};

} // namespace cowslipridge::route
