#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/route/FirstTokenModel.hpp"

#include <cstdint>
#include <deque>

namespace cowslipridge::route {

/// Tracks one entry's calls at one runner that wait for their first token.
/// Unlike the runner's load reports, this state is never stale.
class PendingCalls {
public:
  struct Call {
    std::uint64_t PromptTokens = 0;
    std::uint64_t LastBlock = 0;
    core::Millis SentAt;
    FirstTokenFeatures Features;
  };

  void add(const Call &call);
  /// Removes the call with this prompt, or the oldest call if none matches.
  /// Returns the features from which its time to first token was predicted.
  FirstTokenFeatures remove(std::uint64_t promptTokens,
                            std::uint64_t lastBlock);
  /// Removes calls whose outcome was not reported in time.
  void expire(core::Millis now);
  [[nodiscard]] double uncachedTokens() const { return Tokens; }
  [[nodiscard]] bool empty() const { return Calls.empty(); }

private:
  std::deque<Call> Calls;
  double Tokens = 0;
};

} // namespace cowslipridge::route
