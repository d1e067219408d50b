#include "cowslipridge/gateway/RequestTraits.hpp"

#include <xxhash.h>

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Part of the most output tokens that an answer has, without a better guess.
constexpr double GuessedPartOfMost = 0.35;

} // namespace

std::uint64_t hashOf(const std::string &text) {
  return XXH64(text.data(), text.size(), 0);
}

// What a request's version follows from: its session, else itself.
std::uint64_t sessionHashOf(const RequestContext &facts) {
  const CallerRequest &caller = facts.Caller;
  return hashOf(caller.Session.empty() ? caller.Id.str()
                                       : caller.Session.str());
}

std::vector<route::CacheBlock> blocksOf(const CallerRequest &caller,
                                        const std::string &model) {
  std::vector<route::CacheBlock> blocks;
  std::uint64_t hash = route::PromptCache::seedOf(model);
  for (const PromptPart &it : caller.Prompt) {
    blocks.push_back(route::PromptCache::chain(hash, it.Id, it.Tokens));
    hash = blocks.back().Hash;
  }
  return blocks;
}

std::uint64_t promptTokens(const CallerRequest &caller) {
  std::uint64_t listed = 0;
  for (const PromptPart &it : caller.Prompt)
    listed += it.Tokens;
  return std::max(listed, caller.PromptTokens);
}

std::string modelOf(const RequestContext &facts, ModelTier tier) {
  return tier ? facts.Route->Models.at(*tier) : facts.Caller.Model;
}

const core::ServiceId &serviceOf(const RequestContext &facts) {
  const auto &services = facts.Route->Services;
  unsigned total = 0;
  for (const catalogue::WeightedService &it : services)
    total += it.Weight;
  std::uint64_t point = sessionHashOf(facts) % std::max(1U, total);
  for (const catalogue::WeightedService &it : services) {
    if (point < it.Weight)
      return it.Service;
    point -= it.Weight;
  }
  return services.front().Service;
}

double expectedEvents(const RequestContext &facts,
                      const core::ServiceId &service) {
  const catalogue::Service *declared = facts.Catalogue->service(service);
  const double perEvent = declared != nullptr && declared->Inference
                              ? declared->Inference->TokensPerEvent
                              : 1;
  const double tokens =
      facts.Caller.EstimatedOutputTokens
          ? static_cast<double>(*facts.Caller.EstimatedOutputTokens)
          : GuessedPartOfMost *
                static_cast<double>(facts.Caller.MaxOutputTokens);
  return tokens / perEvent;
}

} // namespace cowslipridge::gateway
