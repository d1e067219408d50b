#include "cowslipridge/config/FollowerStateMachine.hpp"
#include "cowslipridge/config/BundleCodec.hpp"
#include "cowslipridge/config/ContentHash.hpp"
#include "cowslipridge/core/Error.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::config;

namespace {

const core::InstanceId Self("node-1");
const core::InstanceId Peer("node-2");

template <typename Action> const Action *find(const FollowerActions &actions) {
  for (const FollowerAction &it : actions) {
    if (const auto *found = std::get_if<Action>(&it))
      return found;
  }
  return nullptr;
}

core::Millis at(std::int64_t ms) { return core::Millis(ms); }

std::string emptyManifest(std::uint64_t generation) {
  Manifest manifest;
  manifest.Number = core::Generation(generation);
  return encodeManifest(manifest);
}

std::string emptyBundle(std::uint64_t generation) {
  Bundle bundle;
  bundle.Number = core::Generation(generation);
  return encodeBundle(bundle);
}

PeerConfiguration reported(std::uint64_t generation, std::int64_t age,
                           core::Millis sentAfter) {
  return {core::Generation(generation), core::Millis(age), sentAfter};
}

/// A follower with `generation` in force, confirmed at 0 ms.
FollowerStateMachine startedMachine(std::uint64_t generation,
                                    const FollowerSettings &settings = {}) {
  FollowerStateMachine machine(settings, Self);
  machine.tick(at(0));
  machine.onManifest(std::optional(emptyManifest(generation)), 7, at(0));
  return machine;
}

TEST(FollowerStateMachine, readsTheContentsOfANewManifestBeforeItIsInForce) {
  const std::string text = encodeContent({"p", {}});
  ServiceContent content{"p", {}};
  content.Service.Name = core::ServiceId("desk");
  const std::string stored = encodeContent(content);
  const std::string hash = contentHash(stored);
  Manifest manifest;
  manifest.Number = core::Generation(3);
  manifest.Services[core::ServiceId("desk")] = {hash, core::Generation(3),
                                                "asha", "p"};
  FollowerStateMachine machine({}, Self);
  ASSERT_NE(find<ReadManifest>(machine.tick(at(0))), nullptr);
  const auto reads =
      machine.onManifest(std::optional(encodeManifest(manifest)), 7, at(1));
  ASSERT_NE(find<ReadContent>(reads), nullptr);
  EXPECT_EQ(find<PutInForce>(reads), nullptr);
  const auto done = machine.onContent(hash, std::optional(stored), at(2));
  ASSERT_NE(find<PutInForce>(done), nullptr);
  EXPECT_EQ(machine.generation(), core::Generation(3));
  EXPECT_NE(machine.inForce()->findService(core::ServiceId("desk")), nullptr);
}

TEST(FollowerStateMachine, appliesTheHigherGenerationOfStoreAndPeer) {
  FollowerStateMachine machine = startedMachine(5);
  const auto pull = machine.onPeerReport(Peer, reported(6, 0, at(10)), at(10));
  ASSERT_NE(find<PullBundle>(pull), nullptr);
  const auto done = machine.onBundle(Peer, emptyBundle(6), at(20));
  ASSERT_NE(find<PutInForce>(done), nullptr);
  const auto late = machine.onBundle(Peer, emptyBundle(5), at(30));
  EXPECT_EQ(find<PutInForce>(late), nullptr);
  EXPECT_EQ(machine.generation(), core::Generation(6));
}

TEST(FollowerStateMachine, reportsStaleOnceAndThenConfirmed) {
  FollowerStateMachine machine = startedMachine(5);
  machine.onManifest(core::Errc::StoreUnavailable, 0, at(100));
  EXPECT_EQ(find<ReportStale>(machine.tick(at(9'000))), nullptr);
  machine.onManifest(core::Errc::StoreUnavailable, 0, at(9'100));
  EXPECT_NE(find<ReportStale>(machine.tick(at(10'001))), nullptr);
  EXPECT_EQ(find<ReportStale>(machine.tick(at(10'500))), nullptr);
  EXPECT_TRUE(machine.stale(at(10'500)));
  const auto fresh =
      machine.onPeerReport(Peer, reported(5, 200, at(10'600)), at(10'600));
  EXPECT_NE(find<ReportConfirmed>(fresh), nullptr);
  EXPECT_EQ(machine.age(at(10'600)), core::Millis(200));
}

TEST(FollowerStateMachine, isolatedPeersDoNotConfirmEachOther) {
  FollowerStateMachine machine = startedMachine(5);
  const auto old =
      machine.onPeerReport(Peer, reported(5, 20'000, at(20'000)), at(20'000));
  EXPECT_EQ(find<ReportConfirmed>(old), nullptr);
  EXPECT_TRUE(machine.stale(at(20'000)));
}

TEST(FollowerStateMachine, peerReportOfUnknownAgeConfirmsNothing) {
  FollowerStateMachine machine = startedMachine(5);
  machine.onPeerReport(Peer, {core::Generation(5), UnknownAge, at(20'000)},
                       at(20'000));
  EXPECT_TRUE(machine.stale(at(20'000)));
}

// A watch that a change ended was answered at an unknown time of its wait. If
// its arrival counted as a confirmation, the follower would claim to be up to
// date at a time when a later change may already have been published.
TEST(FollowerStateMachine, watchEndedByAChangeConfirmsOnlyItsStartTime) {
  FollowerSettings settings;
  settings.WatchWait = core::Millis(1'000);
  FollowerStateMachine machine = startedMachine(5, settings);
  machine.tick(at(1'000)); // watches from 1000 ms on
  machine.onManifest(std::optional(emptyManifest(6)), 8, at(5'000));
  EXPECT_EQ(machine.generation(), core::Generation(6));
  EXPECT_GE(machine.age(at(5'000)), core::Millis(4'000));
}

TEST(FollowerStateMachine, keepsItsGenerationWhenTheStoreReturnsAnOlderOne) {
  FollowerStateMachine machine = startedMachine(5);
  machine.tick(at(1'000));
  const auto actions =
      machine.onManifest(std::optional(emptyManifest(4)), 9, at(2'000));
  EXPECT_EQ(find<PutInForce>(actions), nullptr);
  ASSERT_NE(find<ReportUnreadable>(actions), nullptr);
  EXPECT_EQ(machine.generation(), core::Generation(5));
}

TEST(FollowerStateMachine, invalidManifestIsReportedAndReadAgainLater) {
  FollowerStateMachine machine = startedMachine(5);
  const auto actions =
      machine.onManifest(std::optional<std::string>("{"), 9, at(10));
  EXPECT_NE(find<ReportUnreadable>(actions), nullptr);
  EXPECT_EQ(find<ReadManifest>(actions), nullptr);
  EXPECT_NE(find<ReadManifest>(machine.tick(at(6'000))), nullptr);
}

TEST(FollowerStateMachine, watcherCountIsCloseToTargetInLargeFleet) {
  FollowerSettings settings;
  unsigned watchers = 0;
  for (int n = 0; n < 990; ++n) {
    FollowerStateMachine machine(settings,
                                 core::InstanceId("node-" + std::to_string(n)));
    machine.setFleetSize(990);
    watchers += machine.watches() ? 1 : 0;
  }
  EXPECT_GT(watchers, settings.TargetWatchers / 2);
  EXPECT_LT(watchers, settings.TargetWatchers * 2);
}

} // namespace
