#include "cowslipridge/sidecar/KeyedAnswerCache.hpp"

#include <algorithm>

namespace cowslipridge::sidecar {

const KeyedAnswerCache::Item *
KeyedAnswerCache::find(const core::RequestId &request) const {
  const auto it = Items.find(request);
  const bool joinable = it != Items.end() && it->second.Answer->joinable();
  return joinable ? &it->second : nullptr;
}

std::shared_ptr<SharedAnswer>
KeyedAnswerCache::begin(const core::RequestId &request, std::uint64_t bodyHash,
                        core::Millis now) {
  auto answer = std::make_shared<SharedAnswer>();
  Items[request] = {bodyHash, answer, now};
  trim();
  return answer;
}

void KeyedAnswerCache::expire(core::Millis since) {
  std::erase_if(Items, [&](const auto &x) {
    const bool over = x.second.Answer->ended();
    return over && (x.second.BegunAt < since || !x.second.Answer->joinable());
  });
}

// Drops the oldest finished answers; running ones are never dropped.
void KeyedAnswerCache::trim() {
  while (Items.size() > MaxAnswers || totalBytes() > MaxTotalBytes) {
    auto oldest = Items.end();
    for (auto it = Items.begin(); it != Items.end(); ++it) {
      const bool older =
          oldest == Items.end() || it->second.BegunAt < oldest->second.BegunAt;
      if (it->second.Answer->ended() && older)
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
