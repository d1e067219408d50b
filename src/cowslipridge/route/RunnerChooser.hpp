#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/route/Types.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace cowslipridge::route {

/// What one answer taught about a runner. Report it once for each choice: when
/// the first token is there, or when the call failed before.
struct AnswerObservation {
  core::RunnerId Runner;
  std::vector<std::uint64_t> PrefixHashes;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0;
  core::Millis TimeToFirstToken;
  bool Failed = false;
};

/// A runner's engine says that it keeps, or no longer keeps, a prompt block.
/// Events are hints: they may be lost, late or out of order.
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

  /// The runner for `version`, or nothing when none can take it. Runners in
  /// `excluded` were tried before. Leaving runners are never chosen.
  std::optional<core::RunnerId>
  choose(const RequestContext &request, const core::VersionId &version,
         const std::vector<RunnerView> &runners,
         const std::vector<core::RunnerId> &excluded, core::Millis now);
  void observe(const AnswerObservation &answer, core::Millis now);
  void observe(const CacheEvent &event);
  void removeRunner(const core::RunnerId &runner);

private:
  class State;
  std::unique_ptr<State> Impl;
};

} // namespace cowslipridge::route
