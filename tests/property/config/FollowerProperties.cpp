#include "support/FollowerFleetSimulation.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::config;
using support::FollowerFleetSimulation;

namespace {

constexpr int GeneratedSequences = 10'000;
constexpr int FailingSequences = 2'000;
constexpr std::size_t FleetSize = 4;
constexpr int Steps = 120;

/// Exceeds the longest back-off plus a read of the store without confirmation
/// and a pull from a peer.
constexpr core::Millis RecoveryTime{12'000};
/// Shorter than ReadAfter, so that a follower can be updated only by peers.
constexpr core::Millis PeerRecoveryTime{2'000};

FollowerSettings withWatchers(unsigned watchers) {
  FollowerSettings settings;
  settings.TargetWatchers = watchers;
  return settings;
}

/// Checks that the fleet converges after random faults have ended.
void checkConvergesAfterFaults(const FollowerSettings &settings) {
  FollowerFleetSimulation fleet(FleetSize, settings,
                                *rc::gen::arbitrary<std::uint64_t>());
  for (int n = 0; n < Steps; ++n)
    fleet.step();
  fleet.recover(RecoveryTime, *rc::gen::arbitrary<bool>());
  RC_ASSERT(fleet.converged());
}

/// Checks that one change in a healthy fleet reaches all followers before
/// ReadAfter has passed.
void checkPeersSpreadChange(const FollowerSettings &settings) {
  FollowerFleetSimulation fleet(FleetSize, settings,
                                *rc::gen::arbitrary<std::uint64_t>());
  fleet.recover(RecoveryTime, true);
  fleet.publish();
  fleet.recover(PeerRecoveryTime, true);
  RC_ASSERT(fleet.converged());
}

unsigned anyWatchers() { return *rc::gen::inRange(0U, 3U); }

TEST(FollowerProperties, neverRevertsAndConverges) {
  support::expectHolds(GeneratedSequences, [] {
    checkConvergesAfterFaults(withWatchers(anyWatchers()));
  });
}

TEST(FollowerProperties, peersSpreadAChangeBeforeOthersReadTheStore) {
  support::expectHolds(GeneratedSequences / 10,
                       [] { checkPeersSpreadChange(withWatchers(1)); });
}

TEST(FollowerProperties, failsWithoutRefusingOlderGenerations) {
  support::expectViolated(FailingSequences, [] {
    FollowerSettings settings = withWatchers(anyWatchers());
    settings.RefusesOlder = false;
    checkConvergesAfterFaults(settings);
  });
}

TEST(FollowerProperties, failsWithoutPullingFromPeers) {
  support::expectViolated(FailingSequences, [] {
    FollowerSettings settings = withWatchers(1);
    settings.PullsFromPeers = false;
    checkPeersSpreadChange(settings);
  });
}

TEST(FollowerProperties, failsWithoutReadsWhenUnconfirmed) {
  support::expectViolated(FailingSequences, [] {
    FollowerSettings settings = withWatchers(0);
    settings.ReadsWhenUnconfirmed = false;
    checkConvergesAfterFaults(settings);
  });
}

TEST(FollowerProperties, failsWithoutContentChecks) {
  support::expectViolated(FailingSequences, [] {
    FollowerSettings settings = withWatchers(anyWatchers());
    settings.ChecksContents = false;
    checkConvergesAfterFaults(settings);
  });
}

TEST(FollowerProperties, failsWhenLateAnswersConfirmTheirArrival) {
  support::expectViolated(FailingSequences, [] {
    FollowerSettings settings = withWatchers(2);
    settings.BackdatesConfirmations = false;
    checkConvergesAfterFaults(settings);
  });
}

} // namespace
