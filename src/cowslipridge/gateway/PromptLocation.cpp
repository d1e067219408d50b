#include "cowslipridge/gateway/PromptLocation.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Probability that requests of other gateways have already put the shared
/// segments of a prompt into the cache of the preferred runner, and of the one
/// that follows it in rendezvous order.
constexpr std::array<double, 2> PreferredCacheFractions = {0.85, 0.4};

/// Returns the hash by which requests are assigned to runners: that of the last
/// shared segment. The first segments are common to many subjects, and the last
/// segment of a prompt belongs to one request or session.
std::uint64_t affinityKey(const std::vector<route::CacheBlock> &prompt) {
  return prompt.size() < 2 ? prompt.back().Hash
                           : prompt[prompt.size() - 2].Hash;
}

} // namespace

PromptLocation::PromptLocation(const route::PromptCache &cache,
                               std::vector<route::CacheBlock> prompt,
                               std::uint64_t fallbackKey,
                               const ServerList &servers)
    : Cache(cache), Prompt(std::move(prompt)) {
  rank(Prompt.empty() ? fallbackKey : affinityKey(Prompt), servers);
}

void PromptLocation::rank(std::uint64_t key, const ServerList &servers) {
  std::array<std::uint64_t, PreferredCacheFractions.size()> weights{};
  for (const auto *server : servers) {
    const std::uint64_t weight =
        route::PromptCache::rendezvousWeight(key, server->Id);
    if (Preferred[0] == nullptr || weight > weights[0]) {
      Preferred = {server, Preferred[0]};
      weights = {weight, weights[0]};
    } else if (Preferred[1] == nullptr || weight > weights[1]) {
      Preferred[1] = server;
      weights[1] = weight;
    }
  }
}

std::uint64_t PromptLocation::sharedTokens() const {
  std::uint64_t tokens = 0;
  for (std::size_t n = 0; n + 1 < Prompt.size(); ++n)
    tokens += Prompt[n].Tokens;
  return tokens;
}

std::uint64_t
PromptLocation::cachedTokens(const membership::BackendServer &server) const {
  const std::uint64_t known = Cache.cachedTokens(Prompt, server.Id);
  const auto *const at = std::find(Preferred.begin(), Preferred.end(), &server);
  if (at == Preferred.end() || Prompt.size() < 2)
    return known;
  const double fraction = PreferredCacheFractions.at(
      static_cast<std::size_t>(at - Preferred.begin()));
  return std::max(known, static_cast<std::uint64_t>(
                             fraction * static_cast<double>(sharedTokens())));
}

PromptLocation::Holder
PromptLocation::largestHolder(const ServerList &servers) const {
  Holder holder;
  for (const auto *server : servers) {
    const std::uint64_t tokens = cachedTokens(*server);
    if (tokens > holder.Tokens)
      holder = {server, tokens};
  }
  return holder;
}

} // namespace cowslipridge::gateway
