#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/route/PrefixIndex.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cowslipridge::route {

/// One block of a prompt's prefix, for one model.
struct CacheBlock {
  std::uint64_t Hash = 0; ///< covers the model and all blocks up to this one
  std::uint64_t Tokens = 0;
};

/// Tracks which prompt prefixes each runner probably holds in its prefix cache,
/// and ranks the runners for a prefix that no runner holds.
class PromptCache {
public:
  explicit PromptCache(std::size_t maxBlocks) : Index(maxBlocks) {}

  /// Returns the block that follows the block with hash `previous` and has the
  /// content `id`.
  static CacheBlock chain(std::uint64_t previous, std::uint64_t id,
                          std::uint64_t tokens);
  /// Returns the initial hash of a model's block chains.
  static std::uint64_t seedOf(std::string_view model);
  /// Returns the weight of a runner for a block in rendezvous hashing: the
  /// block is placed on the runner with the highest weight. All gateways agree
  /// on it without communication.
  static std::uint64_t rendezvousWeight(std::uint64_t block,
                                        const core::RunnerId &runner);

  /// Records that the runner holds the prompt's blocks.
  void recordPrompt(const std::vector<CacheBlock> &prompt,
                    const core::RunnerId &runner);
  /// Records that the runner holds the blocks of a prefix whose last one has
  /// this hash.
  void recordBlock(std::uint64_t lastBlock, const core::RunnerId &runner) {
    Index.insert(lastBlock, runner);
  }
  /// Returns the number of the prompt's leading tokens that the runner holds
  /// and doesn't prefill again.
  [[nodiscard]] std::uint64_t
  cachedTokens(const std::vector<CacheBlock> &prompt,
               const core::RunnerId &runner) const;
  void removeRunner(const core::RunnerId &runner) { Index.eraseRunner(runner); }

private:
  PrefixIndex Index;
};

} // namespace cowslipridge::route
