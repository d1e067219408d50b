#include "unit/http1/ServerFixture.hpp"

#include "cowslipridge/http1/LoopTimer.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// Stalls the loop, so that a timeout of the server and the bytes that end its
/// wait are due in the same turn of the loop.
class ServerStallTest : public ServerTest {
protected:
  static constexpr core::Millis Short{200};
  static constexpr core::Millis Long{60'000};
  static constexpr core::Millis Excess{50};
  /// Sizes of parts that take several reads and that the buffers of the socket
  /// hold.
  static constexpr std::size_t SeveralReads = 12UL * 1024;
  static constexpr std::size_t ManyReads = 48UL * 1024;

  static inline const std::string Request =
      "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

  /// Accepts the connection under these limits.
  void accept(core::Millis head, core::Millis idle) {
    ServerLimits limits;
    limits.HeaderTimeout = head;
    limits.IdleTimeout = idle;
    HttpServer.setLimits(limits);
    runUntil([&] { return HttpServer.connections() == 1; });
  }

  void poll() {
    Loop.restart();
    Loop.poll();
  }

  /// Waits until a request was passed on, or the connection answered or closed.
  void expectRequest() {
    runUntil([&] {
      return !Exchanges.empty() || !Received.empty() || ReadError.failed();
    });
    EXPECT_EQ(Received, "");
    EXPECT_FALSE(ReadError.failed());
    EXPECT_EQ(Exchanges.size(), 1U);
  }
};

// Guards against a 408 for a request whose first bytes came while the server
// stood still, and whose head had all its time left.
TEST_F(ServerStallTest, expiredIdleTimeoutDoesNotRejectARequestThatHasBegun) {
  accept(Long, Short);
  write("GET /x HTTP/1.1\r\n");
  stall(Short + Excess);
  poll();
  write("Host: h\r\n\r\n");
  expectRequest();
}

// Guards against a 408 for a head that waits in the socket, since one turn of
// the loop reads only a part of it.
TEST_F(ServerStallTest, expiredHeadTimeoutWaitsForAHeadThatWasReceived) {
  accept(Short, Long);
  write("GET /x HTTP/1.1\r\n");
  poll();
  write("Host: h\r\nFiller: " + std::string(SeveralReads, 'x') + "\r\n\r\n");
  stall(Short + Excess);
  expectRequest();
}

// Guards against a 408 for a body that waits in the socket.
TEST_F(ServerStallTest, expiredBodyTimeoutWaitsForABodyThatWasReceived) {
  accept(Short, Short);
  write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
        std::to_string(ManyReads) + "\r\n\r\n");
  poll();
  // The time for the head ends, that for the body begins.
  stall(Short + Excess);
  poll();
  write(std::string(ManyReads, 'x'));
  stall(Short + Excess);
  expectRequest();
}

// The counterpart: waiting for bytes that were received grants no time to those
// that were not.
TEST_F(ServerStallTest, headThatIsSentByteByByteIsRejected) {
  accept(Short, Long);
  LoopTimer next(Loop);
  const std::function<void()> writeByte = [&] {
    boost::system::error_code ignored;
    boost::asio::write(Peer, boost::asio::buffer(Request, 1), ignored);
    next.start(core::Millis(1), writeByte);
  };
  writeByte();
  runUntil([&] { return !Received.empty(); });
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 408 ")) << Received;
}

// Guards against kept connections that are closed with a request in the socket:
// one turn of the loop collects the events of a limited number of sockets, but
// all timers.
TEST_F(ServerStallTest, expiredIdleTimeoutsLeaveConnectionsWithARequestOpen) {
  constexpr std::size_t MoreThanOneTurnCollects = 300;
  constexpr core::Millis Idle{1'000};
  accept(Long, Idle);
  std::vector<Socket> peers;
  for (std::size_t i = 0; i < MoreThanOneTurnCollects; ++i) {
    peers.emplace_back(Loop);
    peers.back().connect(Address);
  }
  runUntil([&] { return HttpServer.connections() > peers.size(); });

  // An expired timer is collected in the first turn, and the others with it.
  LoopTimer expired(Loop);
  expired.start(core::Millis(1), [] {});
  stall(core::Millis(10));
  for (Socket &it : peers)
    boost::asio::write(it, boost::asio::buffer(Request));
  stall(Idle + Excess);
  // The connection of the fixture is idle.
  runUntil([&] { return ReadError.failed(); });
  runUntil([&] { return HttpServer.connections() <= Exchanges.size(); });
  EXPECT_EQ(Exchanges.size(), peers.size());
}

// Guards against a request that is passed on although its client has left while
// it waited in the socket.
TEST_F(ServerStallTest, requestWhoseClientHasLeftIsNotPassedOn) {
  accept(Long, Long);
  write(Request);
  Peer.close();
  runUntil([&] { return HttpServer.connections() == 0; });
  EXPECT_TRUE(Exchanges.empty());
}

// Guards against a drain that closes a kept connection without an answer to the
// request that is in its socket.
TEST_F(ServerStallTest, drainAnswersARequestThatArrivedBeforeIt) {
  accept(Long, Long);
  write(Request);
  HttpServer.closeAfterResponses();
  HttpServer.closeIdle();
  expectRequest();
}

// Guards against a drain that closes a connection without an answer to the
// request that was sent together with the one before.
TEST_F(ServerStallTest, drainAnswersARequestThatWaitsForTheOneBefore) {
  write(Request + Request);
  runUntil([&] { return Exchanges.size() == 1; });
  Exchanges.back()->respond(ok(), "one");
  Loop.restart();
  while (HttpServer.inFlight() != 0)
    ASSERT_EQ(Loop.run_one(), 1U);
  HttpServer.closeIdle();
  runUntil([&] { return Exchanges.size() == 2 || ReadError.failed(); });
  EXPECT_EQ(Exchanges.size(), 2U);
}

} // namespace
