#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/route/FirstTokenModel.hpp"

#include <cstdint>
#include <deque>

namespace cowslipridge::route {

/// One entry's calls at one runner that wait for their first token. Unlike load
/// reports, this is never late.
class PendingCalls {
public:
  struct Call {
    std::uint64_t PromptTokens = 0;
    std::uint64_t LastBlock = 0;
    core::Millis SentAt;
    FirstTokenFeatures Features;
  };

  void add(const Call &call);
  /// Removes the call with this prompt, or the oldest when none matches;
  /// returns what its time was predicted from.
  FirstTokenFeatures remove(std::uint64_t promptTokens,
                            std::uint64_t lastBlock);
  /// Drops calls that were never reported on.
  void expire(core::Millis now);
  [[nodiscard]] double uncachedTokens() const { return Tokens; }
  [[nodiscard]] bool empty() const { return Calls.empty(); }

private:
  std::deque<Call> Calls;
  double Tokens = 0;
};

} // namespace cowslipridge::route
