#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowslipridge::standins {

/// Prompt blocks in an engine's memory: block hashes that chain over the
/// prefix, evicted least recently used first.
class PrefixCache {
public:
  explicit PrefixCache(std::size_t capacityBlocks);

  /// Counts the leading tokens found, then keeps all whole blocks.
  std::size_t lookUpAndInsert(const std::vector<std::string> &tokens);

  static constexpr std::size_t TokensPerBlock = 16;

private:
  void keep(std::uint64_t hash);

  std::size_t Capacity;
  std::list<std::uint64_t> Recent; ///< most recent first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Places;
};

} // namespace cowslipridge::standins
