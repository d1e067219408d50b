#include "cowslipridge/route/PendingCalls.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

/// Time after which a call whose outcome was not reported is removed.
constexpr core::Millis MaxPendingTime{60'000};

} // namespace

void PendingCalls::add(const Call &call) {
  Calls.push_back(call);
  Tokens += call.Features.UncachedTokens;
}

FirstTokenFeatures PendingCalls::remove(std::uint64_t promptTokens,
                                        std::uint64_t lastBlock) {
  if (Calls.empty())
    return {};
  auto it = std::find_if(Calls.begin(), Calls.end(), [&](const Call &call) {
    return call.PromptTokens == promptTokens && call.LastBlock == lastBlock;
  });
  if (it == Calls.end())
    it = Calls.begin();
  const FirstTokenFeatures features = it->Features;
  Tokens -= features.UncachedTokens;
  Calls.erase(it);
  return features;
}

void PendingCalls::expire(core::Millis now) {
  while (!Calls.empty() && now - Calls.front().SentAt > MaxPendingTime) {
    Tokens -= Calls.front().Features.UncachedTokens;
    Calls.pop_front();
  }
}

} // namespace cowslipridge::route
