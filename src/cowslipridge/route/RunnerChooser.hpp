#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/route/Types.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace cowslipridge::route {

/// Outcome of one call to a runner. Exactly one is reported for each choice: at
/// the first token, or when the call fails before it.
struct AnswerObservation {
  core::RunnerId Runner;
  std::vector<std::uint64_t> PrefixHashes;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0;
  core::Millis TimeToFirstToken;
  bool Failed = false;
};

/// Event from a runner's engine: a prompt block was stored in its prefix cache,
/// or evicted. Events are hints: they may be lost, late or out of order.
struct CacheEvent {
  core::RunnerId Runner;
  std::uint64_t PrefixHash = 0;
  bool Evicted = false;
};

/// Chooses the runner with the shortest predicted time to first token among
/// those that serve a version.
class RunnerChooser {
public:
  explicit RunnerChooser(std::uint64_t seed);
  ~RunnerChooser();

  /// Returns the runner for `version`, or nothing if no runner is eligible.
  /// Runners in `excluded` were tried before. Draining runners are never
  /// chosen.
  std::optional<core::RunnerId>
  choose(const RequestContext &request, const core::VersionId &version,
         const std::vector<RunnerView> &runners,
         const std::vector<core::RunnerId> &excluded, core::Millis now);
  /// Updates the latency model and the runner's slowness.
  void observe(const AnswerObservation &answer, core::Millis now);
  /// Updates the prefix index.
  void observe(const CacheEvent &event);
  /// Erases all state of a removed runner.
  void removeRunner(const core::RunnerId &runner);

private:
  class State;
  std::unique_ptr<State> Impl;
};

} // namespace cowslipridge::route
