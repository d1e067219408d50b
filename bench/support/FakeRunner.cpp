#include "support/FakeRunner.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::bench {

namespace {

constexpr double FixedMillis = 10;

core::Millis millisOf(double length) {
  return core::Millis(static_cast<std::int64_t>(std::llround(length)));
}

} // namespace

void FakeRunner::submit(RunnerCall call) {
  Waiting.push_back(std::move(call));
  startNext();
}

void FakeRunner::startNext() {
  while (Running < Speeds.Slots && !Waiting.empty()) {
    const RunnerCall call = std::move(Waiting.front());
    Waiting.pop_front();
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
      FixedMillis + (tokens - cachedTokens) / Speeds.PromptTokensPerMilli;
  remember(call.PrefixHashes);
  PromptFreeAt =
      std::max(PromptFreeAt, Events.now()) + millisOf(prompt * Slowness);
  const double decode = static_cast<double>(call.AnswerTokens) *
                        Speeds.MillisPerAnswerToken * Slowness *
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

void FakeRunner::remember(const std::vector<std::uint64_t> &prefix) {
  // From the deepest block up, so that eviction takes deep blocks first.
  for (auto it = prefix.rbegin(); it != prefix.rend(); ++it) {
    const auto known = Blocks.find(*it);
    if (known != Blocks.end()) {
      ByAge.splice(ByAge.begin(), ByAge, known->second);
      continue;
    }
    Blocks[*it] = ByAge.insert(ByAge.begin(), *it);
    Listener(*it, false);
  }
  while (ByAge.size() > Speeds.CacheBlocks) {
    Listener(ByAge.back(), true);
    Blocks.erase(ByAge.back());
    ByAge.pop_back();
  }
}

} // namespace cowslipridge::bench
