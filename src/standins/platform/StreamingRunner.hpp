#pragma once

#include "standins/platform/PlatformRunner.hpp"

#include <list>
#include <set>
#include <string>

namespace cowslipridge::standins::platform {

/// A model runner: reads prompts, keeps their parts, and streams events.
class StreamingRunner final : public PlatformRunner {
public:
  using PlatformRunner::PlatformRunner;

  [[nodiscard]] std::size_t active() const override { return Active.size(); }
  [[nodiscard]] std::uint64_t promptTokensRead() const { return TokensRead; }

protected:
  void begin(RunnerCall call) override;
  void work(core::Millis now) override;
  [[nodiscard]] std::uint64_t memoryUsed() const override;

private:
  struct Run {
    RunnerCall Call;
    std::uint64_t Tokens = 0; ///< of its prompt
    std::uint64_t NextEvent = 1;
    std::uint64_t Sent = 0;
    bool Begun = false;
    bool Ended = false;
    core::Millis DueAt;
  };

  /// Tokens of the prompt that are not kept; keeps them.
  std::uint64_t read(const std::string &prompt);
  void step(Run &run);

  std::list<Run> Active;
  std::set<std::string> KeptParts;
  std::uint64_t TokensRead = 0;
};

} // namespace cowslipridge::standins::platform
