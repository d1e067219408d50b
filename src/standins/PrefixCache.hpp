#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowslipridge::standins {

/// An engine's cache of prompt blocks, with LRU eviction. The hash of a block
/// covers the entire prefix up to its end.
class PrefixCache {
public:
  explicit PrefixCache(std::size_t capacityBlocks);

  /// Returns the number of leading tokens found in the cache, then inserts all
  /// complete blocks.
  std::size_t lookUpAndInsert(const std::vector<std::string> &tokens);

  static constexpr std::size_t TokensPerBlock = 16;

private:
  void insert(std::uint64_t hash);

  std::size_t Capacity;
  std::list<std::uint64_t> Recent; ///< most recent first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      Positions;
};

} // namespace cowslipridge::standins
