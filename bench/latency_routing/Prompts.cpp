#include "latency_routing/Prompts.hpp"

namespace cowslipridge::bench::latency {

namespace {

constexpr std::uint64_t FamilyStride = 1'000;
constexpr std::uint64_t UniqueBase = 1'000'000'000;

} // namespace

PromptSource::PromptSource(const Shape &shape, std::uint64_t seed)
    : Drawn(shape), Families(shape.Families, shape.FamilySkew) {
  core::Random random(seed);
  const std::uint64_t range =
      shape.MaxHistoryBlocks - shape.MinHistoryBlocks + 1;
  for (std::size_t n = 0; n < shape.Families; ++n)
    HistoryBlocks.push_back(shape.MinHistoryBlocks +
                            core::uniformIndex(random, range));
}

std::size_t PromptSource::drawFamily(core::Random &random) const {
  if (core::uniform(random) < Drawn.HotShare)
    return Drawn.Families - 1;
  return Families(random);
}

Prompt PromptSource::draw(core::Random &random) {
  const std::size_t family = drawFamily(random);
  const std::uint64_t shared = Drawn.GuideBlocks + HistoryBlocks[family];
  Prompt prompt;
  for (std::uint64_t n = 0; n < shared; ++n) {
    if (!Drawn.Shared)
      prompt.PrefixHashes.push_back(UniqueBase + ++Unique);
    else if (n < Drawn.GuideBlocks)
      prompt.PrefixHashes.push_back(n + 1);
    else
      prompt.PrefixHashes.push_back((family + 1) * FamilyStride + n);
  }
  // The caller's own question.
  prompt.PrefixHashes.push_back(UniqueBase + ++Unique);
  prompt.Tokens = prompt.PrefixHashes.size() * BlockTokens;
  prompt.AnswerTokens = static_cast<std::uint64_t>(
      drawLogNormal(random, static_cast<double>(Drawn.AnswerTokens), 0.4));
  return prompt;
}

} // namespace cowslipridge::bench::latency
