#include "cowslipridge/sidecar/KeyedAnswerCache.hpp"

#include <algorithm>

namespace cowslipridge::sidecar {

const KeyedAnswerCache::Item *
KeyedAnswerCache::find(const core::RequestId &request) const {
  const auto it = Items.find(request);
  const bool isJoinable = it != Items.end() && it->second.Answer->isJoinable();
  return isJoinable ? &it->second : nullptr;
}

std::shared_ptr<SharedAnswer>
KeyedAnswerCache::begin(const core::RequestId &request, std::uint64_t bodyHash,
                        core::Millis now) {
  auto answer = std::make_shared<SharedAnswer>();
  Items[request] = {bodyHash, answer, now};
  trim();
  return answer;
}

void KeyedAnswerCache::expire(core::Millis startedBefore) {
  std::erase_if(Items, [&](const auto &x) {
    const bool isFinished = x.second.Answer->hasEnded();
    return isFinished && (x.second.StartedAt < startedBefore ||
                          !x.second.Answer->isJoinable());
  });
}

// Evicts the oldest finished answers. Answers in progress are never evicted.
void KeyedAnswerCache::trim() {
  while (Items.size() > MaxAnswers || totalBytes() > MaxTotalBytes) {
    auto oldest = Items.end();
    for (auto it = Items.begin(); it != Items.end(); ++it) {
      const bool isOlder = oldest == Items.end() ||
                           it->second.StartedAt < oldest->second.StartedAt;
      if (it->second.Answer->hasEnded() && isOlder)
        oldest = it;
    }
    if (oldest == Items.end())
      return;
    Items.erase(oldest);
  }
}

std::size_t KeyedAnswerCache::totalBytes() const {
  std::size_t bytes = 0;
  for (const auto &[request, item] : Items)
    bytes += item.Answer->recordedBytes();
  return bytes;
}

} // namespace cowslipridge::sidecar
