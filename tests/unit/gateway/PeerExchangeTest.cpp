#include "cowslipridge/gateway/PeerExchange.hpp"

#include "support/LoopFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

using Udp = boost::asio::ip::udp;

/// Two gateways that know each other.
class PeerExchangeTest : public support::LoopFixture {
protected:
  struct Member {
    Member(boost::asio::io_context &loop, const core::Clock &clock,
           const std::string &name)
        : Self{core::InstanceId(name), "127.0.0.1", freePort(loop)},
          Decisions(settings(Self)), Peers(loop, clock, Decisions) {
      Peers.listen({Self.Host, Self.Port});
    }
    static config::GatewaySettings settings(const Peer &self) {
      config::GatewaySettings settings;
      settings.Instance = self.Name;
      return settings;
    }
    static std::uint16_t freePort(boost::asio::io_context &loop) {
      const Udp::socket probe(loop,
                              {boost::asio::ip::make_address("127.0.0.1"), 0});
      return probe.local_endpoint().port();
    }

    Peer Self;
    Dispatcher Decisions;
    PeerExchange Peers;
  };

  PeerExchangeTest() : One(Loop, Time, "one"), Two(Loop, Time, "two") {
    One.Peers.put(Two.Self);
    Two.Peers.put(One.Self);
  }
  void twoHearsOne() {
    One.Peers.sendReports(std::nullopt);
    runUntil([&] { return Two.Peers.heard() == 1; });
  }

  core::ManualClock Time;
  Member One;
  Member Two;
};

// Pattern: all registrations lapse together in an outage of the store, and
// every gateway would take the whole budget for repeats.
TEST_F(PeerExchangeTest, aPeerThatIsHeardOutlivesItsRegistration) {
  twoHearsOne();
  Two.Peers.remove(One.Self.Name);
  EXPECT_TRUE(Two.Peers.peers().contains(One.Self.Name));
  Time.advance(Millis(5'000));
  Two.Peers.expire(Time.monotonic());
  EXPECT_FALSE(Two.Peers.peers().contains(One.Self.Name));
  EXPECT_EQ(Two.Peers.heard(), 0U);
}

TEST_F(PeerExchangeTest, aSilentPeerGoesWithItsRegistration) {
  Two.Peers.remove(One.Self.Name);
  EXPECT_TRUE(Two.Peers.peers().empty());
}

TEST_F(PeerExchangeTest, aSilentPeerStaysWhileItIsRegistered) {
  twoHearsOne();
  Time.advance(Millis(5'000));
  Two.Peers.expire(Time.monotonic());
  EXPECT_EQ(Two.Peers.heard(), 0U);
  EXPECT_TRUE(Two.Peers.peers().contains(One.Self.Name));
}

TEST_F(PeerExchangeTest, tellsOfEachChangeOfAPeersPresenceOnce) {
  std::vector<bool> changes;
  Two.Peers.onPresenceChange(
      [&](const core::InstanceId &peer, bool isReporting) {
        EXPECT_EQ(peer, One.Self.Name);
        changes.push_back(isReporting);
      });
  twoHearsOne();
  One.Peers.sendReports(Millis(900));
  runUntil([&] { return Two.Peers.retryAfter(Millis(5'000)) > Millis(1'000); });
  Time.advance(Millis(5'000));
  Two.Peers.expire(Time.monotonic());
  Two.Peers.expire(Time.monotonic());
  EXPECT_EQ(changes, (std::vector{true, false}));
}

TEST_F(PeerExchangeTest, tellsWhenOneThatLeavesIsBack) {
  twoHearsOne();
  Time.advance(Millis(1'300));
  EXPECT_EQ(Two.Peers.retryAfter(Millis(5'000)), Millis(0));
  One.Peers.sendReports(Millis(1'000));
  runUntil([&] { return Two.Peers.retryAfter(Millis(5'000)) > Millis(1'000); });
  EXPECT_LT(Two.Peers.retryAfter(Millis(5'000)), Millis(3'000));
}

TEST_F(PeerExchangeTest, aPeerThatRegistersAnewStays) {
  twoHearsOne();
  Two.Peers.remove(One.Self.Name);
  Two.Peers.put(One.Self);
  Time.advance(Millis(5'000));
  Two.Peers.expire(Time.monotonic());
  EXPECT_TRUE(Two.Peers.peers().contains(One.Self.Name));
}

} // namespace
