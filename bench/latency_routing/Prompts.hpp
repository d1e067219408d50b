#pragma once

#include "cowslipridge/core/Random.hpp"
#include "support/Statistics.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Measures the time to first token of routing policies with shared prompts.
namespace cowslipridge::bench::latency {

/// Tokens of one prompt block.
inline constexpr std::uint64_t BlockTokens = 256;

struct Prompt {
  std::vector<std::uint64_t> PrefixHashes;
  std::uint64_t Tokens = 0;
  std::uint64_t AnswerTokens = 0;
};

/// Parameters of one workload.
struct Shape {
  std::string Name;
  double RequestsPerSecond = 11;
  std::size_t Families = 200;
  double FamilySkew = 0.6;
  std::uint64_t SystemPromptBlocks = 8; ///< shared by all requests
  std::uint64_t MinHistoryBlocks = 6;   ///< shared by a family's requests
  std::uint64_t MaxHistoryBlocks = 26;
  double HotShare = 0; ///< additional share of requests of one family
  bool Shared = true;  ///< false: no two prompts share a block
  std::uint64_t AnswerTokens = 120;
};

/// Draws the prompts of one workload.
class PromptSource {
public:
  PromptSource(const Shape &shape, std::uint64_t seed);
  Prompt draw(core::Random &random);

private:
  std::size_t drawFamily(core::Random &random) const;

  Shape Workload;
  ZipfDraw Families;
  std::vector<std::uint64_t> HistoryBlocks;
  std::uint64_t Unique = 0;
};

} // namespace cowslipridge::bench::latency
