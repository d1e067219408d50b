#include "cowslipridge/rollout/TrialReview.hpp"

#include "cowslipridge/rollout/TrialSteps.hpp"

namespace cowslipridge::rollout {

namespace {

/// Minimum fraction of the duration that all sessions are on the target before
/// completion, so that the last requests on other versions are seen.
constexpr double MinLastStepFraction = 0.04;
/// Minimum fraction of the duration between two steps, in which a version that
/// turns bad shows it.
constexpr double MinStepFraction = 0.04;
/// Fraction of the duration at which the roll-out is completed even if requests
/// still run on old runners, which are stopped then.
constexpr double ForcedCompletionFraction = 0.93;
/// Delay per rank after which a gateway acts, so that it does so only if the
/// gateways of lower rank did not.
constexpr core::Millis RankDelay{600};
/// Delay of the first record by a gateway that doesn't know which versions
/// serve.
constexpr core::Millis UnknownServingDelay{1'000};

} // namespace

TrialReview::TrialReview(const Trial &trial,
                         const TrialObservation &observation,
                         const ExposureLimit &exposure, bool knowsServing,
                         core::Millis now)
    : Subject(trial), Seen(observation), Exposure(exposure),
      KnowsServing(knowsServing), Now(now) {
  Progress.Elapsed = trial.elapsed(now);
  Progress.Duration = trial.Command.Duration;
  if (trial.Recorded)
    Progress.PresentShare = trialStep(step(), exposure).Share;
  if (observation.Evidence == nullptr) {
    Progress.Exposed.Observed = Progress.Elapsed;
    return;
  }
  Verdict = observation.Evidence->verdict();
  Progress.Exposed = observation.Evidence->exposure(now);
}

core::Millis TrialReview::rankDelay() const {
  return RankDelay * static_cast<std::int64_t>(Seen.Rank);
}

core::Millis TrialReview::elapsedForRank() const {
  return Progress.Elapsed - rankDelay();
}

double TrialReview::fractionForRank() const {
  return elapsedFraction(Subject.Command, elapsedForRank());
}

std::optional<TrialMove> TrialReview::due() const {
  using enum RolloutPhase;
  if (const auto reason = reasonToRevert())
    return TrialMove{Reverted, step(), *reason};
  if (elapsedForRank() < core::Millis())
    return std::nullopt;
  if (Subject.TargetServes && (!Subject.Recorded || step() < LastTrialStep))
    return TrialMove{InProgress, LastTrialStep, "the target serves"};
  if (!Subject.Recorded && !mayBegin())
    return std::nullopt;
  if (!Subject.Recorded)
    return TrialMove{InProgress, 0, "ordered"};
  if (const auto reason = reasonToAdvance())
    return TrialMove{InProgress, step() + 1, *reason};
  if (const auto reason = reasonToComplete())
    return TrialMove{Completed, step(), *reason};
  if (fractionForRank() >= 1 && !Subject.TargetServes)
    return TrialMove{Reverted, step(), "not done in time: " + Verdict.Reason};
  return std::nullopt;
}

bool TrialReview::mayBegin() const {
  constexpr std::size_t TargetAndOneOther = 2;
  return Seen.Registered.size() <= TargetAndOneOther || KnowsServing ||
         elapsedForRank() >= UnknownServingDelay;
}

std::optional<std::string> TrialReview::reasonToRevert() const {
  if (Subject.TargetServes)
    return std::nullopt;
  if (Verdict.Finding == TrialFinding::Worse)
    return Verdict.Reason + " than the stable version";
  const bool isUnproved = Verdict.Finding != TrialFinding::Sound && step() > 0;
  if (isUnproved && isNearlyUsedUp(Exposure, Progress))
    return "the exposure limit is reached: " + Verdict.Reason;
  return std::nullopt;
}

std::optional<std::string> TrialReview::reasonToAdvance() const {
  if (step() >= LastTrialStep || !Seen.TargetHasRunner)
    return std::nullopt;
  const TrialStep next = trialStep(step() + 1, Exposure);
  const bool isDue =
      fractionForRank() >= next.StartFraction &&
      elapsedFraction(Subject.Command, Now - Subject.StepStartedAt) >=
          MinStepFraction;
  if (!isDue)
    return std::nullopt;
  if (Verdict.Finding == TrialFinding::Sound)
    return "step is due, " + Verdict.Reason;
  if (Verdict.Finding == TrialFinding::Unknown &&
      staysWithin(Exposure, Progress, next.Share))
    return "step is due, few requests";
  return std::nullopt;
}

std::optional<std::string> TrialReview::reasonToComplete() const {
  const bool isProved =
      Subject.TargetServes || Verdict.Finding == TrialFinding::Sound ||
      (Verdict.Finding == TrialFinding::Unknown && isQuiet(Exposure, Progress));
  if (step() < LastTrialStep || !isProved || !Seen.TargetHasRunner)
    return std::nullopt;
  const double fraction = fractionForRank();
  const double lastStart = trialStep(LastTrialStep, Exposure).StartFraction;
  if (fraction >= lastStart + MinLastStepFraction && Seen.StableInFlight == 0)
    return "no request is left on the stable version";
  if (fraction >= ForcedCompletionFraction)
    return "the deadline is near";
  return std::nullopt;
}

} // namespace cowslipridge::rollout
