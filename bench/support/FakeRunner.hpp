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

/// One call to a runner, with the callbacks for its progress.
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
  /// Part by which each other running request slows down decoding.
  double SlowdownPerConcurrentCall = 0.04;
  std::size_t CacheBlocks = 400;
};

/// Simulates the parts of a model engine that affect routing: a FIFO queue, a
/// batch of limited size, one prompt computed at a time, and an LRU cache of
/// prompt blocks.
class FakeRunner {
public:
  /// Called for each block that is cached or evicted.
  using CacheListener = std::function<void(std::uint64_t block, bool evicted)>;

  FakeRunner(EventQueue &events, RunnerSpeeds speeds, CacheListener listener)
      : Events(events), Speeds(speeds), Listener(std::move(listener)) {}

  void submit(RunnerCall call);
  /// Makes calls that start later take `factor` times as long.
  void slowDown(double factor) { SlowdownFactor = factor; }
  /// Stops all progress: calls are accepted, but none produces a first token or
  /// ends.
  void freeze() { Frozen = true; }
  [[nodiscard]] unsigned running() const { return Running; }
  [[nodiscard]] unsigned queued() const {
    return static_cast<unsigned>(Queue.size());
  }

private:
  void startNext();
  void start(const RunnerCall &call);
  std::size_t cachedBlocks(const std::vector<std::uint64_t> &prefix) const;
  void cacheBlocks(const std::vector<std::uint64_t> &prefix);

  EventQueue &Events;
  RunnerSpeeds Speeds;
  CacheListener Listener;
  std::deque<RunnerCall> Queue;
  unsigned Running = 0;
  double SlowdownFactor = 1;
  bool Frozen = false;
  core::Millis PromptFreeAt;
  std::list<std::uint64_t> LruOrder; ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Blocks;
};

} // namespace cowslipridge::bench
