#include "cowslipridge/route/PrefixIndex.hpp"

#include <algorithm>

namespace cowslipridge::route {

void PrefixIndex::insert(std::uint64_t block, const core::RunnerId &runner) {
  const auto [it, isNew] = Entries.try_emplace(block);
  Entry &entry = it->second;
  if (isNew)
    entry.LruPosition = LruOrder.insert(LruOrder.begin(), block);
  else
    LruOrder.splice(LruOrder.begin(), LruOrder, entry.LruPosition);
  if (std::find(entry.Holders.begin(), entry.Holders.end(), runner) ==
      entry.Holders.end())
    entry.Holders.push_back(runner);
  if (Entries.size() > MaxBlocks)
    evictLeastRecentlyUsed();
}

void PrefixIndex::erase(std::uint64_t block, const core::RunnerId &runner) {
  const auto it = Entries.find(block);
  if (it == Entries.end())
    return;
  std::erase(it->second.Holders, runner);
  if (!it->second.Holders.empty())
    return;
  LruOrder.erase(it->second.LruPosition);
  Entries.erase(it);
}

void PrefixIndex::eraseRunner(const core::RunnerId &runner) {
  for (auto it = Entries.begin(); it != Entries.end();) {
    std::erase(it->second.Holders, runner);
    if (!it->second.Holders.empty()) {
      ++it;
      continue;
    }
    LruOrder.erase(it->second.LruPosition);
    it = Entries.erase(it);
  }
}

bool PrefixIndex::holds(std::uint64_t block,
                        const core::RunnerId &runner) const {
  const auto it = Entries.find(block);
  return it != Entries.end() &&
         std::find(it->second.Holders.begin(), it->second.Holders.end(),
                   runner) != it->second.Holders.end();
}

std::size_t PrefixIndex::matchedBlocks(const std::vector<std::uint64_t> &prefix,
                                       const core::RunnerId &runner) const {
  // Each hash covers all preceding blocks, so the last held block determines
  // the match. A missing block before it only means that a cache event was
  // lost.
  for (std::size_t n = prefix.size(); n > 0; --n) {
    if (holds(prefix[n - 1], runner))
      return n;
  }
  return 0;
}

void PrefixIndex::evictLeastRecentlyUsed() {
  Entries.erase(LruOrder.back());
  LruOrder.pop_back();
}

} // namespace cowslipridge::route
