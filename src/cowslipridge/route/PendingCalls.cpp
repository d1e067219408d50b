#include "cowslipridge/route/PendingCalls.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

/// Time after which a call without a report is taken to have been lost.
constexpr core::Millis MaxPending{60'000};

} // namespace

void PendingCalls::add(const Call &call) {
  Calls.push_back(call);
  Tokens += call.Factors.UncachedTokens;
}

FirstTokenFactors PendingCalls::take(std::uint64_t promptTokens,
                                     std::uint64_t lastBlock) {
  if (Calls.empty())
    return {};
  auto it = std::find_if(Calls.begin(), Calls.end(), [&](const Call &call) {
    return call.PromptTokens == promptTokens && call.LastBlock == lastBlock;
  });
  if (it == Calls.end())
    it = Calls.begin();
  const FirstTokenFactors factors = it->Factors;
  Tokens -= factors.UncachedTokens;
  Calls.erase(it);
  return factors;
}

void PendingCalls::expire(core::Millis now) {
  while (!Calls.empty() && now - Calls.front().SentAt > MaxPending) {
    Tokens -= Calls.front().Factors.UncachedTokens;
    Calls.pop_front();
  }
}

} // namespace cowslipridge::route
