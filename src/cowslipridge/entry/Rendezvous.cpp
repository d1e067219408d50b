#include "cowslipridge/entry/Rendezvous.hpp"

#include <xxhash.h>

#include <algorithm>

namespace cowslipridge::entry {

namespace {

bool contains(const auto &items, const auto &item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

} // namespace

std::optional<core::RunnerId>
chooseByKey(std::string_view key, const core::VersionId &version,
            const std::vector<route::RunnerView> &runners,
            const std::vector<core::RunnerId> &excluded) {
  const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
  std::optional<core::RunnerId> best;
  std::uint64_t highest = 0;
  for (const route::RunnerView &it : runners) {
    if (it.Draining || it.SuspectedFailed || !contains(it.Versions, version) ||
        contains(excluded, it.Runner))
      continue;
    const std::string &name = it.Runner.str();
    const std::uint64_t weight =
        XXH3_64bits_withSeed(name.data(), name.size(), seed);
    if (best && weight < highest)
      continue;
    best = it.Runner;
    highest = weight;
  }
  return best;
}

} // namespace cowslipridge::entry
