#include "cowslipridge/config/Follower.hpp"
#include "cowslipridge/config/BundleCodec.hpp"
#include "cowslipridge/config/Publisher.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/observe/EventLog.hpp"
#include "support/FaultyStore.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::config;

namespace {

ServiceDeclaration deskWithDeadline(int seconds) {
  ServiceDeclaration service;
  service.Name = core::ServiceId("desk");
  service.Deadline = core::Millis(seconds * 1'000L);
  return service;
}

class FollowerTest : public testing::Test {
protected:
  void publish(int seconds) {
    Publisher(*Store).publish({"p" + std::to_string(seconds),
                               "asha",
                               {deskWithDeadline(seconds)},
                               {},
                               {}});
  }

  std::unique_ptr<Follower> makeFollower() {
    FollowerHooks hooks;
    hooks.FetchFromPeer = [this](const core::InstanceId &, auto done) {
      done(PeerBundle);
    };
    hooks.OnInForce = [this](const std::shared_ptr<const Bundle> &bundle) {
      Delivered.push_back(bundle->Number.value());
    };
    return std::make_unique<Follower>(FollowerSettings(),
                                      core::InstanceId("e1"), Store, Clock,
                                      Events, hooks);
  }

  /// Advances the clock by `ms` in steps of 100 ms with a tick after each.
  void advanceAndTick(Follower &follower, int ms) {
    for (int n = 0; n < ms; n += 100) {
      Clock.advance(core::Millis(100));
      follower.tick();
    }
  }

  core::ManualClock Clock;
  observe::EventLog Events{Clock, core::InstanceId("e1"), core::Incarnation(1),
                           100};
  std::shared_ptr<support::FaultyStore> Store =
      std::make_shared<support::FaultyStore>();
  core::Result<std::string> PeerBundle = core::Errc::StoreUnavailable;
  std::vector<std::uint64_t> Delivered;
};

TEST_F(FollowerTest, putsEachPublicationInForceInOrder) {
  const auto follower = makeFollower();
  follower->tick();
  EXPECT_EQ(follower->inForce(), nullptr);
  publish(1);
  advanceAndTick(*follower, 3'000);
  publish(2);
  advanceAndTick(*follower, 3'000);
  EXPECT_EQ(Delivered, (std::vector<std::uint64_t>{1, 2}));
  EXPECT_EQ(follower->generation(), core::Generation(2));
  EXPECT_FALSE(follower->stale());
  EXPECT_EQ(decodeBundle(follower->encodedBundle()).value(),
            *follower->inForce());
}

TEST_F(FollowerTest, startsFromAPeerWhileTheStoreIsDown) {
  Store->NextFault = [] { return support::StoreFault::Unavailable; };
  const auto follower = makeFollower();
  follower->tick();
  Bundle bundle;
  bundle.Number = core::Generation(9);
  PeerBundle = encodeBundle(bundle);
  follower->onPeerReport(
      core::InstanceId("e2"),
      {core::Generation(9), core::Millis(0), Clock.monotonic()});
  EXPECT_EQ(Delivered, std::vector<std::uint64_t>{9});
}

TEST_F(FollowerTest, reportsStaleAndConfirmedEvents) {
  publish(1);
  const auto follower = makeFollower();
  advanceAndTick(*follower, 500);
  Store->NextFault = [] { return support::StoreFault::Unavailable; };
  advanceAndTick(*follower, 20'000);
  EXPECT_TRUE(follower->stale());
  Store->NextFault = [] { return support::StoreFault::None; };
  advanceAndTick(*follower, 10'000);
  EXPECT_FALSE(follower->stale());
  std::vector<observe::EventNumber> numbers;
  for (const observe::Event &it : Events.since(0))
    numbers.push_back(it.Number);
  EXPECT_EQ(numbers, (std::vector<observe::EventNumber>{
                         observe::EventNumber::ConfigurationInForce,
                         observe::EventNumber::ConfigurationStale,
                         observe::EventNumber::ConfigurationConfirmed}));
}

TEST_F(FollowerTest, doesNothingAfterStop) {
  const auto follower = makeFollower();
  follower->stop();
  publish(1);
  advanceAndTick(*follower, 3'000);
  EXPECT_TRUE(Delivered.empty());
}

} // namespace
