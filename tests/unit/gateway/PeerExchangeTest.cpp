#include "cowslipridge/gateway/PeerExchange.hpp"

#include "support/LoopFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

using Udp = boost::asio::ip::udp;

/// Two gateways that are registered with each other.
class PeerExchangeTest : public support::LoopFixture {
protected:
  struct Member {
    Member(boost::asio::io_context &loop, const core::Clock &clock,
           const std::string &name)
        : Self{core::InstanceId(name), "127.0.0.1", freePort(loop)},
          RequestDispatcher(settings(Self)),
          Peers(loop, clock, RequestDispatcher) {
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
    Dispatcher RequestDispatcher;
    PeerExchange Peers;
  };

  PeerExchangeTest() : One(Loop, Time, "one"), Two(Loop, Time, "two") {
    One.Peers.put(Two.Self);
    Two.Peers.put(One.Self);
  }
  void deliverReportFromOneToTwo() {
    One.Peers.sendReports(std::nullopt);
    runUntil([&] { return Two.Peers.countReporting() == 1; });
  }

  core::ManualClock Time;
  Member One;
  Member Two;
};

// Guards against an excess of retries: all registrations expire together in a
// store outage, and each gateway would then claim the entire retry budget.
TEST_F(PeerExchangeTest, keepsAReportingPeerWithoutRegistration) {
  deliverReportFromOneToTwo();
  Two.Peers.remove(One.Self.Name);
  EXPECT_TRUE(Two.Peers.peers().contains(One.Self.Name));
  Time.advance(Millis(5'000));
  Two.Peers.expire(Time.monotonic());
  EXPECT_FALSE(Two.Peers.peers().contains(One.Self.Name));
  EXPECT_EQ(Two.Peers.countReporting(), 0U);
}

TEST_F(PeerExchangeTest, removesAStalePeerWithItsRegistration) {
  Two.Peers.remove(One.Self.Name);
  EXPECT_TRUE(Two.Peers.peers().empty());
}

TEST_F(PeerExchangeTest, keepsAStalePeerWhileItIsRegistered) {
  deliverReportFromOneToTwo();
  Time.advance(Millis(5'000));
  Two.Peers.expire(Time.monotonic());
  EXPECT_EQ(Two.Peers.countReporting(), 0U);
  EXPECT_TRUE(Two.Peers.peers().contains(One.Self.Name));
}

TEST_F(PeerExchangeTest, reportsEachPresenceChangeOnce) {
  std::vector<bool> changes;
  Two.Peers.setPresenceListener(
      [&](const core::InstanceId &peer, bool isReporting) {
        EXPECT_EQ(peer, One.Self.Name);
        changes.push_back(isReporting);
      });
  deliverReportFromOneToTwo();
  One.Peers.sendReports(Millis(900));
  runUntil([&] { return Two.Peers.retryAfter(Millis(5'000)) > Millis(1'000); });
  Time.advance(Millis(5'000));
  Two.Peers.expire(Time.monotonic());
  Two.Peers.expire(Time.monotonic());
  EXPECT_EQ(changes, (std::vector{true, false}));
}

TEST_F(PeerExchangeTest, estimatesTheRestartOfADrainingPeer) {
  deliverReportFromOneToTwo();
  Time.advance(Millis(1'300));
  EXPECT_EQ(Two.Peers.retryAfter(Millis(5'000)), Millis(0));
  One.Peers.sendReports(Millis(1'000));
  runUntil([&] { return Two.Peers.retryAfter(Millis(5'000)) > Millis(1'000); });
  EXPECT_LT(Two.Peers.retryAfter(Millis(5'000)), Millis(3'000));
}

TEST_F(PeerExchangeTest, keepsAPeerThatRegistersAgain) {
  deliverReportFromOneToTwo();
  Two.Peers.remove(One.Self.Name);
  Two.Peers.put(One.Self);
  Time.advance(Millis(5'000));
  Two.Peers.expire(Time.monotonic());
  EXPECT_TRUE(Two.Peers.peers().contains(One.Self.Name));
}

} // namespace
