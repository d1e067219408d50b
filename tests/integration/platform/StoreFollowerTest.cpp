#include "support/LoopFixture.hpp"

#include "cowslipridge/platform/StoreFollower.hpp"
#include "standins/platform/MetadataServer.hpp"

#include <deque>

using namespace cowslipridge;
using namespace cowslipridge::platform;
using core::Millis;
using standins::platform::MetadataServer;
using standins::platform::StoreFaults;

namespace {

/// A gateway's way to the store, and what it learnt there.
struct Member {
  Member(boost::asio::io_context &loop, const core::Clock &clock,
         const config::SocketAddress &store, std::uint64_t seed)
      : Contact(loop, clock, store, Counts), Items(loop, Contact, seed) {
    Contact.setListeners({[this](const auto &) { ++Lost; }, [] {},
                          [this](Millis it) { Items.renewCall(it); }});
    Items.start({[this](const auto &items, StoreRevision) {
                   ++Listings;
                   Listed = items.size();
                 },
                 [this](const StoreItem &it) { Changed.push_back(it.Key); }});
  }

  observe::Metrics Counts{core::InstanceId("g"), core::FailureDomainId("d")};
  StoreContact Contact;
  StoreFollower Items;
  std::size_t Listed = 0;
  int Listings = 0;
  int Lost = 0;
  std::vector<std::string> Changed;
};

class StoreFollowerTest : public support::LoopFixture {
protected:
  StoreFollowerTest() : Store(Loop, Clock) {
    Tcp::acceptor probe(Loop, anyPort());
    const auto at = probe.local_endpoint();
    probe.close();
    Store.listen(at);
    Address = {at.address().to_string(), at.port()};
  }

  void fill(int items) {
    for (int n = 0; n < items; ++n)
      Store.store().put("servers/r" + std::to_string(n), "{}");
  }
  void startMembers(std::uint64_t count) {
    for (std::uint64_t n = 0; n < count; ++n)
      Members.emplace_back(Loop, Clock, Address, n);
  }
  bool allListed() {
    return std::all_of(Members.begin(), Members.end(),
                       [](const Member &it) { return it.Listings > 0; });
  }

  MetadataServer Store;
  config::SocketAddress Address;
  std::deque<Member> Members;
};

TEST_F(StoreFollowerTest, listsAllPagesAndThenHearsOfChanges) {
  fill(120);
  startMembers(1);
  runUntil([&] { return allListed(); });
  EXPECT_EQ(Members[0].Listed, 120U);
  Store.store().put("servers/new", "{}");
  runUntil([&] { return !Members[0].Changed.empty(); });
  EXPECT_EQ(Members[0].Changed, std::vector<std::string>{"servers/new"});
}

// Pattern: a whole fleet starts at the same moment, and its listings are more
// than the store bears in a second.
TEST_F(StoreFollowerTest, aFleetThatStartsTogetherAsksForNoPageTwice) {
  constexpr std::size_t PagesEach = 3;
  constexpr std::size_t Fleet = 40;
  fill(120);
  StoreFaults faults;
  faults.CallsPerSecond = 60;
  Store.setFaults(faults);
  startMembers(Fleet);
  runUntil([&] { return allListed(); });
  EXPECT_EQ(Store.pages(), Fleet * PagesEach);
  EXPECT_GT(Store.refused(), 0U);
  for (const Member &it : Members)
    EXPECT_EQ(it.Listed, 120U);
}

TEST_F(StoreFollowerTest, aBusyStoreIsNotALostOne) {
  StoreFaults faults;
  faults.CallsPerSecond = 1;
  Store.setFaults(faults);
  startMembers(2);
  runUntil([&] { return Store.refused() >= 2; });
  EXPECT_EQ(Members[0].Lost + Members[1].Lost, 0);
  runUntil([&] { return Members[0].Lost + Members[1].Lost > 0; });
  EXPECT_GE(Store.refused(), 4U) << "refused time and again, it is lost";
}

// Pattern: the store turns one gateway away for a moment, and its watch, which
// was open all the while, hears nothing any more.
TEST_F(StoreFollowerTest, aWatchIsAskedForAnewAfterARefusedCall) {
  startMembers(1);
  runUntil([&] { return allListed(); });
  const auto renew = [&] {
    int status = 0;
    Members[0].Contact.send(StoreCallName::Renew, renewLeaseCall(7),
                            core::Millis(500),
                            [&](const StoreReply &it) { status = it.Status; });
    runUntil([&] { return status != 0; });
  };
  StoreFaults faults;
  faults.CallsPerSecond = 1;
  Store.setFaults(faults);
  while (Store.refused() == 0)
    renew();
  EXPECT_EQ(Members[0].Lost, 0);
  Store.setFaults({});
  const std::size_t before = Store.calls();
  renew();
  runUntil([&] { return Store.calls() == before + 2; });
}

// Pattern: a gateway is killed in an outage of the store and starts again.
TEST_F(StoreFollowerTest, takesWhatAnotherKnowsWhileTheStoreIsAway) {
  fill(3);
  startMembers(1);
  runUntil([&] { return allListed(); });
  Store.store().put("servers/late", "{}");
  runUntil([&] { return !Members[0].Changed.empty(); });
  StoreFaults faults;
  faults.Silent = true;
  Store.setFaults(faults);
  startMembers(1);
  ASSERT_FALSE(Members[1].Items.known());
  ASSERT_TRUE(Members[1].Items.adopt(*Members[0].Items.known()));
  EXPECT_EQ(Members[1].Listed, 4U);
  Store.store().put("servers/later", "{}");
  Store.setFaults({});
  runUntil([&] { return !Members[1].Changed.empty(); });
  EXPECT_EQ(Members[1].Changed, std::vector<std::string>{"servers/later"});
  EXPECT_EQ(Members[1].Listings, 1);
}

TEST_F(StoreFollowerTest, whatTheStoreToldGoesBeforeASnapshot) {
  fill(3);
  startMembers(1);
  runUntil([&] { return allListed(); });
  EXPECT_FALSE(Members[0].Items.adopt({}));
  EXPECT_EQ(Members[0].Items.known()->Items.size(), 3U);
}

// Pattern: runners of a large fleet change their entries all the time, and each
// change would cost one call for every gateway.
TEST_F(StoreFollowerTest, manyChangesCostFewWatchesInALargeFleet) {
  startMembers(1);
  runUntil([&] { return allListed(); });
  Members[0].Items.setFollowers(26);
  const std::size_t before = Store.calls();
  const core::Millis begun = Clock.monotonic();
  for (int n = 0; n < 30; ++n) {
    Store.store().put("servers/r" + std::to_string(n), "{}");
    Loop.restart();
    Loop.run_for(std::chrono::milliseconds(15));
  }
  runUntil([&] { return Members[0].Changed.size() == 30; });
  const core::Millis took = Clock.monotonic() - begun;
  EXPECT_LE(Store.calls() - before, 2 + took.count() / 350)
      << "about three a second, whatever changes";
}

// Pattern: the store falls silent while a gateway starts, and is back before
// the listing's time is over.
TEST_F(StoreFollowerTest, aListingThatHangsIsAskedForAnewOnceTheStoreAnswers) {
  StoreFaults faults;
  faults.Silent = true;
  Store.setFaults(faults);
  startMembers(1);
  runUntil([&] { return Store.calls() == 1; });
  EXPECT_FALSE(Members[0].Contact.hasStoreResponded());
  bool over = false;
  Members[0].Contact.send(StoreCallName::Renew, renewLeaseCall(7),
                          core::Millis(100),
                          [&](const StoreReply &) { over = true; });
  runUntil([&] { return over; });
  Store.setFaults({});
  Members[0].Contact.send(StoreCallName::Renew, renewLeaseCall(7),
                          core::Millis(500), [](const StoreReply &) {});
  const core::Millis back = Clock.monotonic();
  runUntil([&] { return allListed(); });
  EXPECT_TRUE(Members[0].Contact.hasStoreResponded());
  EXPECT_LT(Clock.monotonic() - back, core::Millis(1'500))
      << "the first listing waits for 2 s";
}

TEST_F(StoreFollowerTest, listsAnewWhenTheHistoryIsGone) {
  fill(3);
  startMembers(1);
  runUntil([&] { return allListed(); });
  StoreFaults faults;
  faults.Busy = true;
  Store.setFaults(faults);
  Members[0].Items.renewCall(Clock.monotonic());
  runUntil([&] { return Members[0].Lost > 0; });
  Store.store().remove("servers/r0");
  Store.store().dropHistory();
  Store.setFaults({});
  runUntil([&] { return Members[0].Listings == 2; });
  EXPECT_EQ(Members[0].Listed, 2U);
}

} // namespace
