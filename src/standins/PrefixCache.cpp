#include "standins/PrefixCache.hpp"

#include <xxhash.h>

namespace cowslipridge::standins {

namespace {

std::vector<std::uint64_t> hashBlocks(const std::vector<std::string> &tokens) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t chain = 0;
  for (std::size_t i = 0; i < tokens.size(); ++i) {
    chain = XXH3_64bits_withSeed(tokens[i].data(), tokens[i].size(), chain);
    if ((i + 1) % PrefixCache::TokensPerBlock == 0)
      hashes.push_back(chain);
  }
  return hashes;
}

} // namespace

PrefixCache::PrefixCache(std::size_t capacityBlocks)
    : Capacity(capacityBlocks) {}

std::size_t
PrefixCache::lookUpAndInsert(const std::vector<std::string> &tokens) {
  const auto hashes = hashBlocks(tokens);
  std::size_t found = 0;
  while (found < hashes.size() && Positions.count(hashes[found]) != 0)
    ++found;
  // A block is found only if all blocks before it are cached. The first blocks
  // are therefore inserted last, which makes them the most recently used.
  for (auto it = hashes.rbegin(); it != hashes.rend(); ++it)
    insert(*it);
  return found * TokensPerBlock;
}

void PrefixCache::insert(std::uint64_t hash) {
  const auto position = Positions.find(hash);
  if (position != Positions.end()) {
    Recent.splice(Recent.begin(), Recent, position->second);
    return;
  }
  Recent.push_front(hash);
  Positions[hash] = Recent.begin();
  if (Recent.size() <= Capacity)
    return;
  Positions.erase(Recent.back());
  Recent.pop_back();
}

} // namespace cowslipridge::standins
