#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/rollout/TrialControl.hpp"
#include "support/PropertyChecks.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <limits>
#include <memory>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::rollout;
using core::Millis;

namespace {

constexpr int Histories = 1'000;
constexpr ExposureLimit Exposure{0.1, 30};
const core::ServiceId Service("desk");
const core::VersionId Stable("v1");
const core::VersionId Target("v2");

/// How often and how fast one version answers well.
struct Quality {
  double FailedShare = 0;
  double SlowShare = 0;
};

/// One roll-out of a plain service: its traffic, the version on trial, and what
/// happens to all runners and to the gateways meanwhile.
struct History {
  int RequestsPerSecond = 0;
  Millis Duration;
  Quality Trial;
  Millis TurnsBadAt;
  double CommonFailedShare = 0; ///< of both versions, while they are disturbed
  Millis DisturbedFrom;
  Millis DisturbedFor;
  Millis EvidenceLostAt; ///< all gateways restart
};

/// Requests that one roll-out sent to each version.
struct Outcome {
  RolloutPhase Phase = RolloutPhase::InProgress;
  int Target = 0;
  int All = 0;
  std::string Reason; ///< of the last decision
};

/// Plays a history against the decisions, which hear of answers and of accepted
/// records a little later.
class TrialSimulation {
public:
  TrialSimulation(const History &played, std::uint64_t seed)
      : Played(played), Random(seed),
        Evidence(std::make_unique<TrialAssessment>(Target)) {
    Control.onCommand({Service, Target, played.Duration}, Millis());
  }

  Outcome run() {
    for (; Now < Played.Duration + Millis(1'000); Now = Now + Step) {
      if (Now == Played.EvidenceLostAt)
        Evidence = std::make_unique<TrialAssessment>(Target, Now);
      deliver();
      sendRequests();
      decide();
    }
    return Result;
  }

private:
  static constexpr Millis Step{50};
  static constexpr Millis EvidenceDelay{400};
  static constexpr Millis RecordDelay{250};
  static constexpr double UsualMillis = 30;
  static constexpr double SlowMillis = 110;
  static constexpr double StableFailedShare = 0.05;

  void sendRequests() {
    const double expected =
        Played.RequestsPerSecond * static_cast<double>(Step.count()) / 1'000;
    if (core::uniform(Random) < expected)
      sendRequest();
  }

  void sendRequest() {
    const auto hash = static_cast<std::uint64_t>(
        core::uniform(Random) *
        static_cast<double>(std::numeric_limits<std::uint64_t>::max()));
    const auto choice = Control.choose(Service, hash, Now);
    const bool onTarget = choice.Versions == TrialControl::Choice::Target;
    if (Now < Played.Duration) {
      ++Result.All;
      Result.Target += onTarget ? 1 : 0;
    }
    AnswerCounts counts;
    counts.Sent = counts.Judged = 1;
    if (fails(onTarget))
      counts.Failed = 1;
    else
      counts.Durations.add(0, duration(onTarget));
    Answers.push_back({Now + EvidenceDelay, onTarget, counts});
  }

  bool isBad() const { return Now >= Played.TurnsBadAt; }

  bool fails(bool onTarget) {
    const bool isDisturbed = Now >= Played.DisturbedFrom &&
                             Now < Played.DisturbedFrom + Played.DisturbedFor;
    return core::uniform(Random) < StableFailedShare ||
           (isDisturbed && core::uniform(Random) < Played.CommonFailedShare) ||
           (onTarget && isBad() &&
            core::uniform(Random) < Played.Trial.FailedShare);
  }

  double duration(bool onTarget) {
    const bool isSlow =
        onTarget && isBad() && core::uniform(Random) < Played.Trial.SlowShare;
    return (0.5 + core::uniform(Random)) * (isSlow ? SlowMillis : UsualMillis);
  }

  void deliver() {
    for (; !Answers.empty() && Answers.front().KnownAt <= Now;
         Answers.pop_front())
      Evidence->add({Service, Answers.front().OnTarget ? Target : Stable, "r"},
                    Answers.front().Counts, Now);
    if (!Accepted || Now < AcceptedAt)
      return;
    Control.onProgress(Accepted->Progress, Now);
    Control.onStatus(Accepted->Status, Now);
    Result.Phase = Accepted->Status.Phase;
    Accepted.reset();
  }

  void decide() {
    if (Accepted)
      return;
    Accepted = Control.next(Service, {Evidence.get(), 0, true, 0}, Now);
    AcceptedAt = Now + RecordDelay;
    if (Accepted)
      Result.Reason = Accepted->Reason;
  }

  struct Answer {
    Millis KnownAt;
    bool OnTarget = false;
    AnswerCounts Counts;
  };

  History Played;
  core::Random Random;
  TrialControl Control{Exposure};
  std::unique_ptr<TrialAssessment> Evidence;
  std::deque<Answer> Answers;
  std::optional<TrialDecision> Accepted;
  Millis AcceptedAt;
  Millis Now;
  Outcome Result;
};

Millis anyTime(int minMillis, int maxMillis) {
  constexpr int Grid = 500;
  return Millis(std::int64_t{Grid} *
                *rc::gen::inRange(minMillis / Grid, maxMillis / Grid));
}

History anyHistory() {
  History history;
  history.RequestsPerSecond = *rc::gen::inRange(2, 20);
  history.Duration = anyTime(12'000, 25'000);
  history.CommonFailedShare = *rc::gen::inRange(0, 5) * 0.1;
  history.DisturbedFrom = anyTime(0, 12'000);
  history.DisturbedFor = anyTime(0, 10'000);
  history.EvidenceLostAt = anyTime(0, 20'000);
  return history;
}

/// Makes the version fail or answer slowly, from the start or a little later.
void spoil(History &history) {
  const double share = *rc::gen::inRange(4, 8) * 0.1;
  if (*rc::gen::arbitrary<bool>())
    history.Trial.FailedShare = share;
  else
    history.Trial.SlowShare = share;
  history.TurnsBadAt = anyTime(0, 5'000);
}

// Guards against a bad version that gets more requests than operators accept,
// whatever hides it: failures of all runners, a sound start, lost evidence.
TEST(TrialProperties, badVersionStaysWithinTheExposureLimit) {
  support::expectHolds(Histories, [] {
    History history = anyHistory();
    spoil(history);
    const Outcome outcome =
        TrialSimulation(history, *rc::gen::arbitrary<std::uint64_t>()).run();
    RC_ASSERT(outcome.Target <=
              Exposure.Fraction * outcome.All + Exposure.Allowance);
  });
}

// Counterpart: a control that reverts everything would hold the limit as well.
// A service with few requests may lack the evidence.
TEST(TrialProperties, soundVersionOfABusyServiceNearlyAlwaysCompletes) {
  constexpr double MinCompleted = 0.95;
  int completed = 0;
  int played = 0;
  support::expectHolds(Histories, [&] {
    History history = anyHistory();
    history.RequestsPerSecond += 10;
    history.EvidenceLostAt = history.Duration * 2;
    const Outcome outcome =
        TrialSimulation(history, *rc::gen::arbitrary<std::uint64_t>()).run();
    ++played;
    completed += outcome.Phase == RolloutPhase::Completed ? 1 : 0;
  });
  EXPECT_GE(completed, MinCompleted * played);
}

} // namespace
