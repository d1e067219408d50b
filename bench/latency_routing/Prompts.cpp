#include "latency_routing/Prompts.hpp"

namespace cowslipridge::bench::latency {

namespace {

/// Distance between the block hashes of two families.
constexpr std::uint64_t FamilyStride = 1'000;
/// Base of block hashes that occur in one prompt only.
constexpr std::uint64_t UniqueBase = 1'000'000'000;

} // namespace

PromptSource::PromptSource(const Shape &shape, std::uint64_t seed)
    : Workload(shape), Families(shape.Families, shape.FamilySkew) {
  core::Random random(seed);
  const std::uint64_t range =
      shape.MaxHistoryBlocks - shape.MinHistoryBlocks + 1;
  for (std::size_t n = 0; n < shape.Families; ++n)
    HistoryBlocks.push_back(shape.MinHistoryBlocks +
                            core::uniformIndex(random, range));
}

std::size_t PromptSource::drawFamily(core::Random &random) const {
  if (core::uniform(random) < Workload.HotShare)
    return Workload.Families - 1;
  return Families(random);
}

Prompt PromptSource::draw(core::Random &random) {
  const std::size_t family = drawFamily(random);
  const std::uint64_t shared =
      Workload.SystemPromptBlocks + HistoryBlocks[family];
  Prompt prompt;
  for (std::uint64_t n = 0; n < shared; ++n) {
    if (!Workload.Shared)
      prompt.PrefixHashes.push_back(UniqueBase + ++Unique);
    else if (n < Workload.SystemPromptBlocks)
      prompt.PrefixHashes.push_back(n + 1);
    else
      prompt.PrefixHashes.push_back((family + 1) * FamilyStride + n);
  }
  // The caller's own question is unique.
  prompt.PrefixHashes.push_back(UniqueBase + ++Unique);
  prompt.Tokens = prompt.PrefixHashes.size() * BlockTokens;
  prompt.AnswerTokens = static_cast<std::uint64_t>(drawLogNormalMillis(
      random, static_cast<double>(Workload.AnswerTokens), 0.4));
  return prompt;
}

} // namespace cowslipridge::bench::latency
