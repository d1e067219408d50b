#pragma once

#include "cowslipridge/core/Ids.hpp"
#include "support/EventQueue.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace cowslipridge::bench {

/// One call as a runner sees it.
struct RunnerCall {
  std::vector<std::uint64_t> PrefixHashes;
  std::uint64_t PromptTokens = 0;
  std::uint64_t AnswerTokens = 0;
  core::Millis SentAt;
  std::function<void(std::uint64_t cachedTokens)> OnFirstToken;
  std::function<void()> OnEnd;
};

struct RunnerSpeeds {
  unsigned Slots = 8;
  double PromptTokensPerMilli = 5;
  double MillisPerAnswerToken = 20;
  double SlowdownPerConcurrentCall =
      0.04; ///< of decoding, for each other request
  std::size_t CacheBlocks = 400;
};

/// A model engine reduced to what routing can feel: a FIFO queue, a batch of
/// limited size, one prompt computed at a time, and an LRU cache of prompt
/// blocks.
class FakeRunner {
public:
  /// Told of each block that enters or leaves the cache.
  using CacheListener = std::function<void(std::uint64_t block, bool evicted)>;

  FakeRunner(EventQueue &events, RunnerSpeeds speeds, CacheListener listener)
      : Events(events), Speeds(speeds), Listener(std::move(listener)) {}

  void submit(RunnerCall call);
  /// All later work takes `factor` times as long.
  void slowDown(double factor) { Slowness = factor; }
  /// Accepts calls but ends none that has not had its first token.
  void freeze() { Frozen = true; }
  [[nodiscard]] unsigned running() const { return Running; }
  [[nodiscard]] unsigned queued() const {
    return static_cast<unsigned>(Waiting.size());
  }

private:
  void startNext();
  void start(const RunnerCall &call);
  std::size_t cachedBlocks(const std::vector<std::uint64_t> &prefix) const;
  void remember(const std::vector<std::uint64_t> &prefix);

  EventQueue &Events;
  RunnerSpeeds Speeds;
  CacheListener Listener;
  std::deque<RunnerCall> Waiting;
  unsigned Running = 0;
  double Slowness = 1;
  bool Frozen = false;
  core::Millis PromptFreeAt;
  std::list<std::uint64_t> ByAge; ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Blocks;
};

} // namespace cowslipridge::bench
