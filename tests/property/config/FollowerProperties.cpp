#include "support/FleetOfFollowers.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::config;
using support::FleetOfFollowers;

namespace {

constexpr int Histories = 10'000;
constexpr int FailingHistories = 2'000;
constexpr std::size_t FleetSize = 4;
constexpr int Steps = 120;

/// Long enough for the longest back-off, a silent read and a pull.
constexpr core::Millis HealTime{12'000};
/// Shorter than ReadAfter: only peers can bring a follower up to date.
constexpr core::Millis PeerHealTime{2'000};

FollowerSettings withWatchers(unsigned watchers) {
  FollowerSettings settings;
  settings.WatchersWanted = watchers;
  return settings;
}

/// Random faults, then peace; converges unless something is broken.
void runHistory(const FollowerSettings &settings) {
  FleetOfFollowers fleet(FleetSize, settings,
                         *rc::gen::arbitrary<std::uint64_t>());
  for (int n = 0; n < Steps; ++n)
    fleet.step();
  fleet.heal(HealTime, *rc::gen::arbitrary<bool>());
  RC_ASSERT(fleet.converged());
}

/// One change in a healthy fleet reaches all before ReadAfter has passed.
void runHealthyChange(const FollowerSettings &settings) {
  FleetOfFollowers fleet(FleetSize, settings,
                         *rc::gen::arbitrary<std::uint64_t>());
  fleet.heal(HealTime, true);
  fleet.publish();
  fleet.heal(PeerHealTime, true);
  RC_ASSERT(fleet.converged());
}

unsigned anyWatchers() { return *rc::gen::inRange(0U, 3U); }

TEST(FollowerProperties, neverRevertsAndConverges) {
  support::expectHolds(Histories,
                       [] { runHistory(withWatchers(anyWatchers())); });
}

TEST(FollowerProperties, peersSpreadAChangeBeforeAnyoneElseReads) {
  support::expectHolds(Histories / 10,
                       [] { runHealthyChange(withWatchers(1)); });
}

TEST(FollowerProperties, failsWithoutRefusingOlderGenerations) {
  support::expectViolated(FailingHistories, [] {
    FollowerSettings settings = withWatchers(anyWatchers());
    settings.RefusesOlder = false;
    runHistory(settings);
  });
}

TEST(FollowerProperties, failsWithoutPullsFromPeers) {
  support::expectViolated(FailingHistories, [] {
    FollowerSettings settings = withWatchers(1);
    settings.PullsFromPeers = false;
    runHealthyChange(settings);
  });
}

TEST(FollowerProperties, failsWithoutReadsWhenSilent) {
  support::expectViolated(FailingHistories, [] {
    FollowerSettings settings = withWatchers(0);
    settings.ReadsWhenSilent = false;
    runHistory(settings);
  });
}

TEST(FollowerProperties, failsWithoutContentChecks) {
  support::expectViolated(FailingHistories, [] {
    FollowerSettings settings = withWatchers(anyWatchers());
    settings.ChecksContents = false;
    runHistory(settings);
  });
}

TEST(FollowerProperties, failsWhenLateAnswersConfirmTheirArrival) {
  support::expectViolated(FailingHistories, [] {
    FollowerSettings settings = withWatchers(2);
    settings.DatesAnswers = false;
    runHistory(settings);
  });
}

} // namespace
