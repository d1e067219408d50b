#pragma once

#include "cowslipridge/membership/BackendServer.hpp"
#include "cowslipridge/route/PromptCache.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace cowslipridge::gateway {

using ServerList = std::vector<const membership::BackendServer *>;

/// Estimates how much of one prompt each of several runners has in its cache,
/// from what this gateway knows and from the order in which all gateways prefer
/// the runners for the prompt.
class PromptLocation {
public:
  /// A runner and the number of the prompt's leading tokens that it has.
  struct Holder {
    const membership::BackendServer *Server = nullptr;
    std::uint64_t Tokens = 0;
  };

  /// `fallbackKey` replaces the hash of the prompt if that is empty. `cache`
  /// must outlive the location.
  PromptLocation(const route::PromptCache &cache,
                 std::vector<route::CacheBlock> prompt,
                 std::uint64_t fallbackKey, const ServerList &servers);

  [[nodiscard]] bool isEmpty() const { return Prompt.empty(); }
  /// Returns the runner that all gateways prefer; null if there is none.
  [[nodiscard]] const membership::BackendServer *preferred() const {
    return Preferred[0];
  }
  /// Returns how many leading tokens the runner probably has.
  [[nodiscard]] std::uint64_t
  cachedTokens(const membership::BackendServer &server) const;
  /// Returns the runner that probably has the most of the prompt.
  [[nodiscard]] Holder largestHolder(const ServerList &servers) const;

private:
  void rank(std::uint64_t key, const ServerList &servers);
  [[nodiscard]] std::uint64_t sharedTokens() const;

  const route::PromptCache &Cache;
  std::vector<route::CacheBlock> Prompt;
  /// The first runners in rendezvous order; null if there are fewer.
  std::array<const membership::BackendServer *, 2> Preferred{};
};

} // namespace cowslipridge::gateway
