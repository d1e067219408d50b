#pragma once

#include "standins/platform/PlatformRunner.hpp"

#include <list>
#include <set>
#include <string>

namespace cowslipridge::standins::platform {

/// A model runner: prefills prompts, caches their prefixes, and streams events.
class StreamingRunner final : public PlatformRunner {
public:
  using PlatformRunner::PlatformRunner;

  [[nodiscard]] std::size_t active() const override { return Active.size(); }
  [[nodiscard]] std::uint64_t prefilledTokens() const {
    return PrefilledTokens;
  }

protected:
  void startRequest(RunnerCall call) override;
  void process(core::Millis now) override;
  void crash() override;
  [[nodiscard]] std::uint64_t cacheTokensUsed() const override;

private:
  struct ActiveRequest {
    RunnerCall Call;
    std::uint64_t Tokens = 0; ///< prefilled for its prompt
    std::uint64_t NextEvent = 1;
    std::uint64_t Sent = 0;
    bool HasBegun = false;
    bool HasEnded = false;
    core::Millis DueAt;
  };

  /// Adds the prompt to the prefix cache. Returns the number of its tokens that
  /// were not cached before.
  std::uint64_t prefill(const std::string &prompt);
  void sendEvent(ActiveRequest &run);
  /// Returns whether the request makes this runner crash now.
  [[nodiscard]] bool isCrashing(const ActiveRequest &run) const;

  std::list<ActiveRequest> Active;
  std::set<std::string> CachedPrefixes;
  std::uint64_t PrefilledTokens = 0;
};

} // namespace cowslipridge::standins::platform
