#include "cowslipridge/rollout/TrialControl.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <optional>
#include <utility>

using namespace cowslipridge;
using namespace cowslipridge::rollout;
using core::Millis;
using Choice = TrialControl::Choice;

namespace {

const core::ServiceId Service("s");
const core::VersionId Target("v2");
constexpr Millis Duration{24'000};
constexpr ExposureLimit Exposure{0.15, 0};

class TrialControlTest : public testing::Test {
protected:
  void command() { Control.onCommand({Service, Target, Duration}, Millis(0)); }
  /// Simulates that the store accepts a decision and the gateway receives it.
  void accept(const TrialDecision &decision, Millis now) {
    Control.onStatus(decision.Status, now);
    Control.onProgress(decision.Progress, now);
  }
  /// Accepts all decisions until `until`; returns the phase reached.
  RolloutPhase drive(Millis until) {
    for (; Now < until; Now = Now + Millis(100)) {
      if (const auto it = Control.next(Service, Input, Now))
        accept(*it, Now);
    }
    return phase();
  }
  RolloutPhase phase() {
    return Control.activeRollouts().empty()
               ? (Control.isBanned(Service, Target) ? RolloutPhase::Reverted
                                                    : RolloutPhase::Completed)
               : RolloutPhase::InProgress;
  }
  /// Returns the share of all sessions that go to the target.
  double share() {
    int hits = 0;
    constexpr int Sessions = 1'000;
    for (int n = 0; n < Sessions; ++n) {
      const auto hash = std::numeric_limits<std::uint64_t>::max() / Sessions *
                        static_cast<std::uint64_t>(n);
      hits +=
          Control.choose(Service, hash, Now).Versions == Choice::Target ? 1 : 0;
    }
    return hits / static_cast<double>(Sessions);
  }
  void setCounts(std::uint64_t judged, std::uint64_t failed,
                 const std::string &route = "r") {
    AnswerCounts counts;
    counts.Judged = judged;
    counts.Failed = failed;
    Evidence.add({Service, Target, route}, counts, Now);
  }

  TrialControl Control{Exposure};
  TrialAssessment Evidence{Target};
  TrialControl::Observation Input{&Evidence, 0, true, 0};
  Millis Now;
};

TEST_F(TrialControlTest, anyVersionServesWithoutCommand) {
  EXPECT_EQ(Control.choose(Service, 0, Now).Versions, Choice::Any);
}

TEST_F(TrialControlTest, noSessionGoesToTargetBeforeItsRecord) {
  command();
  EXPECT_EQ(share(), 0);
}

TEST_F(TrialControlTest, goodVersionCompletesWellBeforeDeadline) {
  command();
  EXPECT_EQ(drive(Duration / 2), RolloutPhase::InProgress);
  EXPECT_GT(share(), 0);
  EXPECT_LT(share(), 0.15) << "exposure is bounded through the first half";
  EXPECT_EQ(drive(Duration * 9 / 10), RolloutPhase::Completed);
  EXPECT_EQ(share(), 1);
}

TEST_F(TrialControlTest, respectsSmallerExposureFraction) {
  Control = TrialControl({0.02, 0});
  command();
  drive(Duration / 2);
  EXPECT_GT(share(), 0);
  EXPECT_LT(share(), 0.02);
}

TEST_F(TrialControlTest, oldRunnersWithRequestsAreStoppedOnlyNearDeadline) {
  command();
  Input.StableInFlight = 1;
  EXPECT_EQ(drive(Duration * 9 / 10), RolloutPhase::InProgress);
  EXPECT_EQ(drive(Duration), RolloutPhase::Completed);
}

TEST_F(TrialControlTest, badVersionIsRevertedAndNeverServesAgain) {
  command();
  drive(Millis(2'000));
  setCounts(6, 3);
  EXPECT_EQ(drive(Millis(2'200)), RolloutPhase::Reverted);
  EXPECT_EQ(share(), 0);
  EXPECT_TRUE(Control.isBanned(Service, Target));
}

// Guards against requests that a version gets while the store accepts its end.
TEST_F(TrialControlTest, versionFoundWorseGetsNoSessionsBeforeItsRecord) {
  command();
  drive(Millis(2'000));
  setCounts(6, 3);
  ASSERT_TRUE(Control.next(Service, Input, Now));
  Control.suspend(Service);
  EXPECT_EQ(share(), 0);
  EXPECT_EQ(Control.activeTarget(Service), Target);
  EXPECT_TRUE(Control.next(Service, Input, Now)) << "until it is recorded";
}

// Guards against an order for the old version that sends its traffic to the bad
// version that is to be taken back.
TEST_F(TrialControlTest, orderForAServingVersionAppliesAtOnceAndCompletes) {
  const core::VersionId old("v1");
  Control.onOnlyVersion(Service, old);
  command();
  drive(Millis(2'000));
  Control.onOnlyVersion(Service, Target); // the others have crashed
  Control.onCommand({Service, old, Duration}, Now);
  EXPECT_EQ(share(), 1);
  EXPECT_EQ(Control.choose(Service, 0, Now).Target, old);
  EXPECT_TRUE(Control.isUnproved(Service, Target));
  const auto first = Control.next(Service, Input, Now);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->Progress.Step, 3U) << "known to gateways that restart";
  EXPECT_EQ(drive(Now + Duration), RolloutPhase::Completed);
}

TEST_F(TrialControlTest, orderForTheOnlyServingVersionRefusesNothing) {
  Control.onOnlyVersion(Service, Target);
  command();
  EXPECT_EQ(share(), 1);
}

TEST_F(TrialControlTest, versionOfAReplacedRolloutIsNotStable) {
  command();
  drive(Millis(2'000));
  const core::VersionId third("v3");
  Control.onCommand({Service, third, Duration}, Now);
  EXPECT_TRUE(Control.isUnproved(Service, Target));
  EXPECT_EQ(share(), 0);
  command();
  EXPECT_FALSE(Control.isUnproved(Service, Target)) << "it is on trial again";
}

class RestartedTrialControlTest : public TrialControlTest {
protected:
  /// Drives a roll-out from v1 to the target up to its first step, then orders
  /// another version.
  void replaceRolloutBy(const core::VersionId &version) {
    Control.onOnlyVersion(Service, Old);
    command();
    drive(Millis(2'000));
    Latest = {Service, version, Duration};
    Control.onCommand(Latest, Now);
  }
  /// Returns a gateway that starts now and lists what the store holds.
  TrialControl restart() {
    const auto &[status, progress] = *Record;
    TrialControl started{Exposure};
    started.onListed({{Latest}, {status}, {progress}, false}, Now);
    return started;
  }
  void driveAndRecord(Millis until) {
    for (; Now < until; Now = Now + Millis(100)) {
      if (const auto it = Control.next(Service, Input, Now)) {
        accept(*it, Now);
        Record = {it->Status, it->Progress};
      }
    }
  }

  const core::VersionId Old{"v1"};
  const core::VersionId Third{"v3"};
  RolloutCommand Latest;
  std::optional<std::pair<RolloutStatus, RolloutProgress>> Record;
};

// Guards against a bad version that gets nearly all requests of a gateway that
// restarted after the order for a third version.
TEST_F(RestartedTrialControlTest, abandonedVersionIsNotStable) {
  replaceRolloutBy(Third);
  driveAndRecord(Now + Millis(1'000));
  const TrialControl started = restart();
  EXPECT_TRUE(started.isUnproved(Service, Target));
  EXPECT_FALSE(started.isUnproved(Service, Old));
  EXPECT_FALSE(started.isUnproved(Service, Third));
}

// Two operators at the same moment: the record is still that of the first.
TEST_F(RestartedTrialControlTest, versionOfTheRecordIsNotStableAfterANewOrder) {
  Control.onOnlyVersion(Service, Old);
  command();
  driveAndRecord(Millis(2'000));
  Latest = {Service, Third, Duration};
  const TrialControl started = restart();
  EXPECT_TRUE(started.isUnproved(Service, Target));
  EXPECT_FALSE(started.isUnproved(Service, Old));
}

// Guards against a restarted gateway that takes the version which is taken back
// for the stable one.
TEST_F(RestartedTrialControlTest, orderForTheOldVersionAppliesAtOnce) {
  Control.onOnlyVersion(Service, Old);
  command();
  driveAndRecord(Millis(2'000));
  Latest = {Service, Old, Duration};
  Control.onCommand(Latest, Now);
  Control = restart();
  EXPECT_EQ(share(), 1);
  EXPECT_EQ(Control.choose(Service, 0, Now).Target, Old);
  EXPECT_TRUE(Control.isUnproved(Service, Target));
  driveAndRecord(Now + Millis(1'000));
  Control = restart();
  EXPECT_EQ(share(), 1) << "by its own record";
}

TEST_F(RestartedTrialControlTest, completedVersionIsStable) {
  Control.onOnlyVersion(Service, Old);
  command();
  driveAndRecord(Duration);
  ASSERT_EQ(phase(), RolloutPhase::Completed);
  Latest = {Service, Third, Duration};
  const TrialControl started = restart();
  EXPECT_FALSE(started.isUnproved(Service, Target));
}

TEST_F(TrialControlTest, versionThatIsBadOnSingleRouteIsReverted) {
  command();
  drive(Millis(2'000));
  setCounts(100, 0, "good");
  setCounts(4, 4, "bad");
  EXPECT_EQ(drive(Millis(2'200)), RolloutPhase::Reverted);
}

/// A service with many requests.
class BusyTrialTest : public TrialControlTest {
protected:
  /// Drives the roll-out while each version answers this often a second.
  RolloutPhase driveBusy(Millis until, std::uint64_t target) {
    while (Now < until) {
      add(core::VersionId("v1"), 30);
      add(Target, target);
      drive(Now + Millis(1'000));
    }
    return phase();
  }

private:
  void add(const core::VersionId &version, std::uint64_t answers) {
    AnswerCounts counts;
    counts.Sent = answers;
    counts.Judged = answers;
    Evidence.add({Service, version, "r"}, counts, Now);
  }
};

// Guards against steps that follow the clock although nothing is known of the
// version.
TEST_F(BusyTrialTest, versionWithoutAnswersIsNotCompleted) {
  command();
  driveBusy(Duration * 7 / 10, 0);
  EXPECT_LE(share(), 0.25) << "what the permitted exposure suffices for";
  EXPECT_EQ(driveBusy(Duration * 2, 0), RolloutPhase::Reverted);
}

TEST_F(BusyTrialTest, versionThatIsShownToBeSoundLateStillCompletes) {
  command();
  driveBusy(Duration * 7 / 10, 0);
  EXPECT_LE(share(), 0.25);
  EXPECT_EQ(driveBusy(Duration, 8), RolloutPhase::Completed);
}

TEST_F(TrialControlTest, versionWithoutRunnersIsRevertedAtDeadline) {
  command();
  Input.TargetHasRunner = false;
  EXPECT_EQ(drive(Duration + Millis(1'000)), RolloutPhase::Reverted);
}

TEST_F(TrialControlTest, restartedGatewayContinuesAtRecordedStep) {
  command();
  drive(Duration * 65 / 100);
  const double before = share();
  TrialControl restarted(Exposure);
  const RolloutStatus status{Service, Target, RolloutPhase::InProgress};
  restarted.onProgress({Service, Target, 2, Duration * 60 / 100},
                       Millis(50'000));
  restarted.onStatus(status, Millis(49'000));
  restarted.onCommand({Service, Target, Duration}, Millis(50'000));
  Control = restarted;
  EXPECT_EQ(share(), before);
  Now = Millis(50'000);
  EXPECT_EQ(drive(Now + Duration * 35 / 100), RolloutPhase::Completed);
}

TEST_F(TrialControlTest, revertedVersionIsNotTriedAfterRestart) {
  Control.onStatus({Service, Target, RolloutPhase::Reverted}, Millis(0));
  command();
  EXPECT_EQ(share(), 0);
  EXPECT_TRUE(Control.activeRollouts().empty());
}

TEST_F(TrialControlTest, gatewayOfHigherRankActsAfterDelay) {
  command();
  Input.Rank = 2;
  EXPECT_FALSE(Control.next(Service, Input, Millis(100)));
  EXPECT_TRUE(Control.next(Service, Input, Millis(3'000)));
}

TEST_F(TrialControlTest, revertsOnEvidenceWhateverTheRank) {
  command();
  drive(Millis(2'000));
  Input.Rank = 3;
  setCounts(6, 3);
  EXPECT_EQ(drive(Millis(2'200)), RolloutPhase::Reverted);
}

TEST_F(TrialControlTest, shareNeverShrinksSoThatNoSessionSwitchesBack) {
  command();
  double before = 0;
  for (int n = 0; n < 230; ++n) {
    drive(Now + Millis(100));
    ASSERT_GE(share(), before);
    before = share();
  }
}

/// The store comes back as an older copy, with commands and records of then.
class RestoredTrialTest : public TrialControlTest {
protected:
  static RolloutCommand commandTo(const std::string &target) {
    return {Service, core::VersionId(target), Duration};
  }
  static RolloutList copyWith(std::vector<RolloutCommand> commands,
                              std::vector<RolloutStatus> statuses = {},
                              std::vector<RolloutProgress> progresses = {}) {
    return {std::move(commands), std::move(statuses), std::move(progresses),
            true};
  }
  RolloutStatus statusOf(RolloutPhase phase) {
    return {Service, Target, phase};
  }
  RolloutProgress progressOf(unsigned step) {
    return {Service, Target, step, Millis(0)};
  }
};

TEST_F(RestoredTrialTest, completedRolloutStaysCompletedAndIsWrittenAgain) {
  command();
  drive(Duration);
  ASSERT_EQ(share(), 1);
  Control.onListed(copyWith({commandTo("v2")},
                            {statusOf(RolloutPhase::InProgress)},
                            {progressOf(1)}),
                   Now);
  EXPECT_EQ(share(), 1);
  const auto next = Control.next(Service, Input, Now);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->Status, statusOf(RolloutPhase::Completed));
  accept(*next, Now);
  EXPECT_FALSE(Control.next(Service, Input, Now));
}

TEST_F(RestoredTrialTest, revertedVersionStaysBanned) {
  command();
  drive(Millis(2'000));
  setCounts(10, 10);
  drive(Millis(3'000));
  ASSERT_TRUE(Control.isBanned(Service, Target));
  Control.onListed(copyWith({}), Now);
  EXPECT_TRUE(Control.isBanned(Service, Target));
  EXPECT_EQ(share(), 0);
  const auto next = Control.next(Service, Input, Now);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->Status.Phase, RolloutPhase::Reverted);
}

TEST_F(RestoredTrialTest, stepDoesNotGoBackAndTimeCountsOn) {
  command();
  drive(Duration * 62 / 100);
  const double before = share();
  Control.onListed(copyWith({commandTo("v2")}), Now);
  EXPECT_EQ(share(), before);
  EXPECT_EQ(drive(Duration), RolloutPhase::Completed);
}

TEST_F(RestoredTrialTest, decidesNothingNewUntilLostRecordsAreWritten) {
  command();
  drive(Duration / 4);
  Control.onListed(copyWith({commandTo("v2")},
                            {statusOf(RolloutPhase::InProgress)},
                            {progressOf(0)}),
                   Now);
  setCounts(10, 10);
  EXPECT_FALSE(Control.next(Service, Input, Now))
      << "another gateway may know of a later record";
  EXPECT_TRUE(
      Control.next(Service, Input, Now + TrialControl::RecordRewritePeriod));
}

TEST_F(RestoredTrialTest, commandMissingFromTheCopyStaysInForce) {
  command();
  drive(Millis(2'000));
  Control.onListed(copyWith({}), Now);
  EXPECT_EQ(Control.activeTarget(Service), Target);
  EXPECT_TRUE(Control.tick(Now + Millis(60'000)).empty());
  EXPECT_EQ(Control.activeTarget(Service), Target);
}

TEST_F(RestoredTrialTest, commandMissingWithoutRestoreIsWithdrawn) {
  command();
  drive(Millis(2'000));
  Control.onListed({}, Now);
  EXPECT_FALSE(Control.activeTarget(Service));
}

TEST_F(RestoredTrialTest, otherCommandOfTheCopyWaitsForTheOperator) {
  command();
  drive(Millis(2'000));
  Control.onListed(copyWith({commandTo("v1")}), Now);
  EXPECT_EQ(Control.activeTarget(Service), Target);
  Control.onCommand(commandTo("v2"), Now);
  EXPECT_TRUE(Control.tick(Now + Millis(60'000)).empty());
  EXPECT_EQ(Control.activeTarget(Service), Target);
}

TEST_F(RestoredTrialTest, otherCommandAppliesIfTheOperatorWritesNone) {
  command();
  drive(Millis(2'000));
  Control.onListed(copyWith({commandTo("v1")}), Now);
  EXPECT_TRUE(Control.tick(Now + Millis(1'000)).empty());
  EXPECT_EQ(Control.tick(Now + TrialControl::CommandRewritePeriod),
            std::vector{Service});
  EXPECT_EQ(Control.activeTarget(Service), core::VersionId("v1"));
}

TEST_F(RestoredTrialTest, newGatewayLearnsProgressFromPeers) {
  command();
  drive(Duration * 62 / 100);
  TrialControl fresh(Exposure);
  fresh.onListed(copyWith({commandTo("v2")}), Now);
  EXPECT_EQ(fresh.targetShare(Service), 0);
  fresh.onPeerKnowledge(Control.knowledge(Now), Now);
  EXPECT_EQ(fresh.targetShare(Service), Control.targetShare(Service));
  EXPECT_FALSE(fresh.hasStickySessions(Service, Now));
}

TEST_F(RestoredTrialTest, ignoresKnowledgeAboutAnotherCommand) {
  command();
  drive(Duration);
  TrialControl other(Exposure);
  other.onCommand({Service, Target, Duration * 2}, Now);
  other.onPeerKnowledge(Control.knowledge(Now), Now);
  EXPECT_EQ(other.activeTarget(Service), Target);
}

} // namespace
