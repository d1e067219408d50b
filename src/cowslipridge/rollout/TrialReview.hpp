#pragma once

#include "cowslipridge/rollout/ExposureBudget.hpp"
#include "cowslipridge/rollout/Trial.hpp"
#include "cowslipridge/rollout/TrialAssessment.hpp"

#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace cowslipridge::rollout {

/// What a gateway sees of a service when it decides on its roll-out.
struct TrialObservation {
  /// The evidence of all gateways; null if the service has no requests.
  const TrialAssessment *Evidence = nullptr;
  /// Number of requests that run on versions other than the target.
  std::size_t StableInFlight = 0;
  bool TargetHasRunner = false; ///< a runner of the target is registered
  /// Rank of this gateway among the live gateways; a higher rank acts later.
  std::size_t Rank = 0;
  /// Versions of the registered runners of the service.
  std::set<core::VersionId> Registered{};
};

/// The next step of a roll-out, or its end.
struct TrialMove {
  RolloutPhase Phase = RolloutPhase::InProgress;
  unsigned Step = 0;
  std::string Reason;
};

/// Decides what is due for one roll-out at one time.
class TrialReview {
public:
  /// `knowsServing` tells whether this gateway knows which versions serve. All
  /// arguments must outlive the review.
  TrialReview(const Trial &trial, const TrialObservation &observation,
              const ExposureLimit &exposure, bool knowsServing,
              core::Millis now);

  /// Returns the move that is due, if one is.
  [[nodiscard]] std::optional<TrialMove> due() const;
  [[nodiscard]] core::Millis elapsed() const { return Progress.Elapsed; }
  /// Returns the time after which this gateway acts, by its rank.
  [[nodiscard]] core::Millis rankDelay() const;

private:
  /// Returns whether this gateway may write the first record. One that doesn't
  /// know which of several versions serve leaves it to the others for a while.
  [[nodiscard]] bool mayBegin() const;
  /// Returns why the trial must end before its time, if it must.
  [[nodiscard]] std::optional<std::string> reasonToRevert() const;
  /// Returns why the next step is taken, if it is due.
  [[nodiscard]] std::optional<std::string> reasonToAdvance() const;
  /// Returns why the roll-out is complete, if it is.
  [[nodiscard]] std::optional<std::string> reasonToComplete() const;
  [[nodiscard]] unsigned step() const { return Subject.Step.value_or(0); }
  /// Returns the elapsed time, less by the delay of this gateway's rank.
  [[nodiscard]] core::Millis elapsedForRank() const;
  [[nodiscard]] double fractionForRank() const;

  const Trial &Subject;
  const TrialObservation &Seen;
  const ExposureLimit &Exposure;
  bool KnowsServing;
  core::Millis Now;
  TrialVerdict Verdict;
  TrialProgress Progress;
};

} // namespace cowslipridge::rollout
