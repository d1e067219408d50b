#include "support/FakeRunner.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::bench {

namespace {

/// Time to process a prompt, regardless of its length.
constexpr double FixedPromptMillis = 10;

core::Millis millisOf(double length) {
  return core::Millis(static_cast<std::int64_t>(std::llround(length)));
}

} // namespace

void FakeRunner::submit(RunnerCall call) {
  Queue.push_back(std::move(call));
  startNext();
}

void FakeRunner::startNext() {
  while (Running < Speeds.Slots && !Queue.empty()) {
    const RunnerCall call = std::move(Queue.front());
    Queue.pop_front();
    start(call);
  }
}

void FakeRunner::start(const RunnerCall &call) {
  ++Running;
  const auto blocks = static_cast<double>(call.PrefixHashes.size());
  const auto cached = static_cast<double>(cachedBlocks(call.PrefixHashes));
  const auto tokens = static_cast<double>(call.PromptTokens);
  const double cachedTokens = blocks > 0 ? tokens * cached / blocks : 0;
  const double prompt =
      FixedPromptMillis + (tokens - cachedTokens) / Speeds.PromptTokensPerMilli;
  cacheBlocks(call.PrefixHashes);
  PromptFreeAt =
      std::max(PromptFreeAt, Events.now()) + millisOf(prompt * SlowdownFactor);
  const double decode = static_cast<double>(call.AnswerTokens) *
                        Speeds.MillisPerAnswerToken * SlowdownFactor *
                        (1 + Speeds.SlowdownPerConcurrentCall * (Running - 1));
  Events.at(PromptFreeAt, [this, call, cachedTokens] {
    if (!Frozen)
      call.OnFirstToken(static_cast<std::uint64_t>(cachedTokens));
  });
  Events.at(PromptFreeAt + millisOf(decode), [this, call] {
    if (Frozen)
      return;
    --Running;
    call.OnEnd();
    startNext();
  });
}

std::size_t
FakeRunner::cachedBlocks(const std::vector<std::uint64_t> &prefix) const {
  std::size_t n = 0;
  while (n < prefix.size() && Blocks.contains(prefix[n]))
    ++n;
  return n;
}

void FakeRunner::cacheBlocks(const std::vector<std::uint64_t> &prefix) {
  // Inserts the deepest block first, so that it is the first to be evicted.
  for (auto it = prefix.rbegin(); it != prefix.rend(); ++it) {
    const auto known = Blocks.find(*it);
    if (known != Blocks.end()) {
      LruOrder.splice(LruOrder.begin(), LruOrder, known->second);
      continue;
    }
    Blocks[*it] = LruOrder.insert(LruOrder.begin(), *it);
    Listener(*it, false);
  }
  while (LruOrder.size() > Speeds.CacheBlocks) {
    Listener(LruOrder.back(), true);
    Blocks.erase(LruOrder.back());
    LruOrder.pop_back();
  }
}

} // namespace cowslipridge::bench
