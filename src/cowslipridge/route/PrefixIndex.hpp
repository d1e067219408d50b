#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace cowslipridge::route {

/// Maps prompt blocks to the runners that probably hold them in their prefix
/// cache. Evicts the least recently used blocks above `maxBlocks`.
class PrefixIndex {
public:
  explicit PrefixIndex(std::size_t maxBlocks) : MaxBlocks(maxBlocks) {}

  void insert(std::uint64_t block, const core::RunnerId &runner);
  void erase(std::uint64_t block, const core::RunnerId &runner);
  void eraseRunner(const core::RunnerId &runner);
  /// Returns the number of leading blocks of `prefix` that `runner` holds.
  [[nodiscard]] std::size_t
  matchedBlocks(const std::vector<std::uint64_t> &prefix,
                const core::RunnerId &runner) const;
  [[nodiscard]] std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    std::vector<core::RunnerId> Holders;
    std::list<std::uint64_t>::iterator LruPosition;
  };

  [[nodiscard]] bool holds(std::uint64_t block,
                           const core::RunnerId &runner) const;
  void evictLeastRecentlyUsed();

  std::size_t MaxBlocks;
  std::unordered_map<std::uint64_t, Entry> Entries;
  std::list<std::uint64_t> LruOrder; ///< most recently used first
};

} // namespace cowslipridge::route
