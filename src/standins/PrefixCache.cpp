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
  while (found < hashes.size() && Places.count(hashes[found]) != 0)
    ++found;
  // The start of a prefix is worth most, so it becomes the most recent.
  for (auto it = hashes.rbegin(); it != hashes.rend(); ++it)
    keep(*it);
  return found * TokensPerBlock;
}

void PrefixCache::keep(std::uint64_t hash) {
  const auto place = Places.find(hash);
  if (place != Places.end()) {
    Recent.splice(Recent.begin(), Recent, place->second);
    return;
  }
  Recent.push_front(hash);
  Places[hash] = Recent.begin();
  if (Recent.size() <= Capacity)
    return;
  Places.erase(Recent.back());
  Recent.pop_back();
}

} // namespace cowslipridge::standins
