#include "support/FaultProxy.hpp"

#include "support/Loopback.hpp"
#include "support/RawSocket.hpp"
#include "support/Waiting.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::integration;
using cowslipridge::support::eventually;
using cowslipridge::support::RawListener;
using cowslipridge::support::RawSocket;

namespace {

class ProxyTest : public ::testing::Test {
protected:
  void SetUp() override {
    Caller = RawSocket::connect(Address, ProxyPort);
    ASSERT_TRUE(Caller.open());
    Target = Listener.accept();
    ASSERT_TRUE(Target.open());
  }

  std::string Address = support::loopbackAddress();
  std::uint16_t TargetPort = support::nextPort();
  std::uint16_t ProxyPort = support::nextPort();
  RawListener Listener{Address, TargetPort};
  FaultProxy Proxy{Address, ProxyPort, Address, TargetPort};
  RawSocket Caller;
  RawSocket Target;
};

TEST_F(ProxyTest, forwardsBothWays) {
  const std::string big(300'000, 'x');
  Caller.send("ask");
  EXPECT_EQ(Target.receiveUntil("ask"), "ask");
  Target.send(big + "end");
  EXPECT_EQ(Caller.receiveUntil("end"), big + "end");
  Target.close();
  bool closed = false;
  Caller.receiveAll(closed);
  EXPECT_TRUE(closed);
}

TEST_F(ProxyTest, delaysOneDirection) {
  LinkFaults slow;
  slow.Delay = std::chrono::milliseconds(150);
  Proxy.setFaultsToTarget(slow);
  const auto start = std::chrono::steady_clock::now();
  Caller.send("ask");
  Target.receiveUntil("ask");
  const auto middle = std::chrono::steady_clock::now();
  EXPECT_GE(middle - start, slow.Delay);
  Target.send("answer");
  Caller.receiveUntil("answer");
  EXPECT_LT(std::chrono::steady_clock::now() - middle, slow.Delay);
}

TEST_F(ProxyTest, limitsThroughput) {
  LinkFaults slow;
  slow.BytesPerSecond = 10'000;
  Proxy.setFaultsToCaller(slow);
  const auto start = std::chrono::steady_clock::now();
  Target.send(std::string(3'000, 'x') + "end");
  Caller.receiveUntil("end");
  EXPECT_GE(std::chrono::steady_clock::now() - start,
            std::chrono::milliseconds(250));
}

TEST_F(ProxyTest, deliversBytesOnceUnblocked) {
  Proxy.block();
  Caller.send("ask");
  std::string received;
  std::thread target([&] { received = Target.receiveUntil("ask"); });
  Proxy.clearFaults();
  target.join();
  EXPECT_EQ(received, "ask");
}

TEST_F(ProxyTest, neverDeliversDroppedBytes) {
  LinkFaults lossy;
  lossy.Dropped = true;
  Proxy.setFaultsToCaller(lossy);
  Target.send("lost");
  Caller.send("ask");
  Target.receiveUntil("ask");
  // The proxy reads its sockets in the order of its poll list, the caller's
  // before the target's.
  Caller.send("again");
  Target.receiveUntil("again");
  Proxy.clearFaults();
  Target.send("kept");
  EXPECT_EQ(Caller.receiveUntil("kept"), "kept");
}

TEST_F(ProxyTest, resetsOpenConnections) {
  Proxy.resetConnections();
  bool closed = false;
  Caller.receiveAll(closed);
  EXPECT_TRUE(closed);
  EXPECT_TRUE(eventually([&] { return Proxy.connections() == 0; }));
}

TEST_F(ProxyTest, resetsAfterConfiguredBytes) {
  LinkFaults fragile;
  fragile.ResetAfterBytes = 10;
  Proxy.setFaultsToCaller(fragile);
  Target.send("0123456789");
  bool closed = false;
  Caller.receiveAll(closed);
  EXPECT_TRUE(closed);
}

TEST_F(ProxyTest, refusesConnectionsUntilReenabled) {
  Proxy.setRefusing(true);
  EXPECT_FALSE(RawSocket::connect(Address, ProxyPort).open());
  Proxy.setRefusing(false);
  EXPECT_TRUE(RawSocket::connect(Address, ProxyPort).open());
}

TEST_F(ProxyTest, resetsCallersWhenTheTargetRefuses) {
  const std::uint16_t port = support::nextPort();
  const FaultProxy proxy(Address, port, Address, support::nextPort());
  const auto socket = RawSocket::connect(Address, port);
  bool closed = false;
  socket.receiveAll(closed);
  EXPECT_TRUE(closed);
}

} // namespace
