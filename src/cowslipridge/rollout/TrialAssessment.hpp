#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/rollout/AnswerCounts.hpp"
#include "cowslipridge/rollout/VersionComparison.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace cowslipridge::rollout {

/// What the evidence shows of a version on trial.
enum class TrialFinding {
  Unknown,   ///< too little to tell
  Suspected, ///< some evidence that it serves worse, too little to decide
  Sound,     ///< it is shown to serve about as well as the stable version
  Worse,     ///< it is shown to serve worse
};

struct TrialVerdict {
  TrialFinding Finding = TrialFinding::Unknown;
  std::string Reason;
  friend auto operator<=>(const TrialVerdict &, const TrialVerdict &) = default;
};

/// Attempts on the runners of a service during its roll-out.
struct TrialExposure {
  std::uint64_t Target = 0; ///< on the version on trial
  std::uint64_t All = 0;
  core::Millis Observed; ///< time over which they were counted
  friend auto operator<=>(const TrialExposure &,
                          const TrialExposure &) = default;
};

/// Compares one version on trial with the stable versions of its service, by
/// what all gateways have counted since the command.
///
/// Answers are compared within short spans of time, on the same route: so a
/// disturbance that strikes both versions neither hides a bad version nor
/// blames a good one, and counts only while it lasts.
class TrialAssessment {
public:
  /// `startedAt` is the time from which answers are counted.
  explicit TrialAssessment(core::VersionId target, core::Millis startedAt = {})
      : Target(std::move(target)), StartedAt(startedAt) {}

  /// Adds answers that have been counted since the last call for this key.
  void add(const RouteEvidenceKey &key, const AnswerCounts &added,
           core::Millis now);
  [[nodiscard]] TrialVerdict verdict() const;
  [[nodiscard]] TrialExposure exposure(core::Millis now) const;
  /// Returns the counts of both versions and the scores, for the log.
  [[nodiscard]] std::string describe() const;

private:
  /// Ways in which an answer can be bad, each with a test of its own.
  static constexpr std::size_t TestCount = 3;
  using Windows = std::array<PairedCounts, TestCount>;
  using Scores = std::array<ComparisonScore, TestCount>;

  struct RouteState {
    AnswerCounts Trial;
    AnswerCounts Stable;
    Windows Window; ///< of the present span of time
    std::array<StableShare, TestCount> Shares;
    Scores Score = makeScores();
  };

  /// A view of all tests with the present span of time counted in.
  struct Assessment {
    Scores All = makeScores();
    std::map<std::string, Scores> Routes;
  };

  static Scores makeScores();
  static double ratioOf(const RouteState &route, std::size_t test);
  void endWindow();
  [[nodiscard]] Assessment assess() const;
  [[nodiscard]] std::optional<std::string>
  findWorse(const Assessment &assessment) const;
  [[nodiscard]] static bool isSuspected(const Assessment &assessment);
  [[nodiscard]] std::optional<std::string>
  findMissing(const Assessment &assessment) const;
  static std::optional<std::string>
  findLacking(const Scores &scores, const AnswerCounts &stable, double score);
  [[nodiscard]] AnswerCounts sumOf(AnswerCounts RouteState::*version) const;

  core::VersionId Target;
  core::Millis StartedAt;
  core::Millis WindowStartedAt;
  std::map<std::string, RouteState> Routes;
  Scores AllRoutes = makeScores();
};

} // namespace cowslipridge::rollout
