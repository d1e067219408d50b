#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/gateway/PeerExchange.hpp"
#include "cowslipridge/gateway/PeerReportCodec.hpp"
#include "cowslipridge/peers/BundleCodec.hpp"

#include "support/LoopFixture.hpp"

#include <memory>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

using Udp = boost::asio::ip::udp;

/// Gateways in two failure domains, registered with each other.
class PeerRelayingTest : public support::LoopFixture {
protected:
  struct Member {
    Member(boost::asio::io_context &loop, const core::Clock &clock, Peer self)
        : Self(std::move(self)), RequestDispatcher(settings(Self)),
          Peers(loop, clock, RequestDispatcher) {
      if (Self.Protocol > 0)
        Peers.enableRelays(Self, core::Incarnation(1));
      Peers.listen({Self.Host, Self.Port});
    }
    static config::GatewaySettings settings(const Peer &self) {
      config::GatewaySettings settings;
      settings.Instance = self.Name;
      return settings;
    }

    Peer Self;
    Dispatcher RequestDispatcher;
    PeerExchange Peers;
  };

  std::uint16_t freePort() {
    const Udp::socket probe(Loop,
                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    return probe.local_endpoint().port();
  }
  /// Adds a gateway; one without a domain has an old build.
  Member &add(const std::string &name, const std::string &domain) {
    const Peer self{core::InstanceId(name), "127.0.0.1", freePort(),
                    core::FailureDomainId(domain),
                    domain.empty() ? 0U : peers::ProtocolVersion};
    Members.push_back(std::make_unique<Member>(Loop, Time, self));
    for (const auto &it : Members) {
      if (it->Self.Name == self.Name)
        continue;
      it->Peers.put(self);
      Members.back()->Peers.put(it->Self);
    }
    return *Members.back();
  }
  void sendAll() {
    for (const auto &it : Members)
      it->Peers.sendReports(std::nullopt);
  }
  [[nodiscard]] bool allReport() const {
    for (const auto &it : Members) {
      if (it->Peers.countReporting() != Members.size() - 1)
        return false;
    }
    return true;
  }
  /// Runs report intervals until relays have taken over from direct reports.
  void runIntervals(int count) {
    for (int n = 0; n < count; ++n) {
      sendAll();
      runUntil([&] { return allReport(); });
      poll();
      Time.advance(Millis(200));
      for (const auto &it : Members)
        it->Peers.expire(Time.monotonic());
    }
  }
  /// Handles the datagrams on their way, over the three hops of a relayed one.
  void poll() {
    for (int n = 0; n < 8; ++n) {
      Loop.restart();
      Loop.poll();
    }
  }
  void sendRaw(const Peer &to, const std::string &bytes) {
    Udp::socket socket(Loop, Udp::v4());
    socket.send_to(boost::asio::buffer(bytes),
                   {boost::asio::ip::make_address(to.Host), to.Port});
  }

  core::ManualClock Time;
  std::vector<std::unique_ptr<Member>> Members;
};

// Guards against relayed peers that do not count as present.
TEST_F(PeerRelayingTest, relayedPeersStayPresent) {
  for (const char *name : {"a1", "a2", "a3"})
    add(name, "a");
  for (const char *name : {"b1", "b2", "b3"})
    add(name, "b");
  runIntervals(20);
  EXPECT_TRUE(allReport());
  std::size_t relays = 0;
  for (const auto &it : Members)
    relays += it->Peers.isRelay(Time.monotonic()) ? 1 : 0;
  EXPECT_EQ(relays, 2U);
}

// Guards against a build that does not know relays and loses sight of others,
// or is lost.
TEST_F(PeerRelayingTest, oldBuildsGetPlainReports) {
  for (const char *name : {"a1", "a2"})
    add(name, "a");
  add("b1", "b");
  add("old1", "");
  add("old2", "");
  runIntervals(20);
  EXPECT_TRUE(allReport());
}

// Guards against a wait for rejected callers that ignores relayed reports.
TEST_F(PeerRelayingTest, relayedReportTellsOfADrain) {
  add("a1", "a");
  add("a2", "a");
  Member &other = add("b1", "b");
  add("b2", "b");
  runIntervals(8);
  EXPECT_EQ(other.Peers.retryAfter(Millis(5'000)), Millis(0));
  // A second round, as a relay may send before the others report.
  for (int n = 0; n < 2; ++n) {
    for (const auto &it : Members) {
      if (it->Self.Name != other.Self.Name)
        it->Peers.sendReports(Millis(1'000));
    }
    poll();
  }
  runUntil(
      [&] { return other.Peers.retryAfter(Millis(5'000)) > Millis(1'000); });
}

// Guards against a malformed datagram that ends the process or goes unnoticed.
TEST_F(PeerRelayingTest, malformedDatagramsAreCountedAndIgnored) {
  Member &one = add("a1", "a");
  Member &other = add("b1", "b");
  core::Random random(20'261'204);
  const std::string plain =
      encodePeerReport(other.RequestDispatcher.report({}));
  const std::string bundle =
      peers::encodeBundle(
          {other.Self.Name,
           peers::BundleKind::Direct,
           false,
           false,
           {{other.Self.Name, {core::Incarnation(1), 1}, plain}}})
          .front();
  std::uint64_t truncated = 0;
  for (const std::string &bytes : {plain, bundle}) {
    for (std::size_t n = 1; n < bytes.size(); n += 3) {
      sendRaw(one.Self, bytes.substr(0, n));
      ++truncated;
      runUntil([&] { return one.Peers.countMalformed() == truncated; });
    }
  }
  sendRaw(one.Self, std::string(65'000, '\x91'));
  runUntil([&] { return one.Peers.countMalformed() == truncated + 1; });
  for (int n = 0; n < 3'000; ++n) {
    std::string mutated = n % 2 == 0 ? plain : bundle;
    for (int k = 0; k <= n % 3; ++k)
      mutated[core::uniformIndex(random, mutated.size())] =
          static_cast<char>(random());
    sendRaw(one.Self, mutated);
    EXPECT_NO_THROW(Loop.poll());
  }
  other.Peers.sendReports(std::nullopt);
  runUntil([&] { return one.Peers.countReporting() == 1; });
}

} // namespace
