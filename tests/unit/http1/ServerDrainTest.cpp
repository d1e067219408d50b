#include "unit/http1/ServerFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// Stops the server as a gateway that drains does: once nothing is unfinished.
class ServerDrainTest : public ServerTest {
protected:
  static inline const std::string Request =
      "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  static inline const std::string Half = "POST /x HTTP/1.1\r\nHost: h\r\n"
                                         "Content-Length: 4\r\n\r\nab";

  void acceptPeer() {
    runUntil([&] { return HttpServer.connections() == 1; });
  }

  void poll() {
    Loop.restart();
    Loop.poll();
  }

  /// Returns whether the server stopped.
  bool drainStep() {
    HttpServer.closeAfterResponses();
    HttpServer.acceptWaiting();
    HttpServer.closeIdle();
    if (HttpServer.unfinished() != 0)
      return false;
    HttpServer.stop();
    return true;
  }

  /// Drains until the server stops, and answers each request.
  void drainAndAnswer() {
    std::size_t answered = 0;
    runUntil([&] {
      for (; answered < Exchanges.size(); ++answered)
        Exchanges[answered]->respond(ok(), "answer");
      return drainStep();
    });
    runUntil([&] { return ReadError.failed(); });
  }

  void expectAnswered() {
    EXPECT_TRUE(Received.starts_with("HTTP/1.1 200 ")) << Received;
    EXPECT_TRUE(Received.ends_with("answer")) << Received;
  }
};

// Guards against a drain that ends while a request is being read: the request
// is not in flight yet, and its connection was closed without a response.
TEST_F(ServerDrainTest, waitsForARequestThatIsHalfRead) {
  acceptPeer();
  write(Half);
  poll();
  EXPECT_FALSE(drainStep());
  EXPECT_EQ(HttpServer.inFlight(), 0U);
  write("cd");
  drainAndAnswer();
  expectAnswered();
}

TEST_F(ServerDrainTest, waitsForARequestThatIsCompleteInTheSocket) {
  acceptPeer();
  write(Request);
  EXPECT_FALSE(drainStep());
  drainAndAnswer();
  expectAnswered();
}

// Guards against closing a connection whose client has connected and is about
// to send: the balancer chose this process before it learned of the drain.
TEST_F(ServerDrainTest, waitsForTheFirstRequestOfANewConnection) {
  acceptPeer();
  EXPECT_FALSE(drainStep());
  write(Request);
  drainAndAnswer();
  expectAnswered();
}

// Guards against a reset of connections that the kernel has established while
// they wait in the listen queue.
TEST_F(ServerDrainTest, acceptsAConnectionThatWaitsInTheListenQueue) {
  EXPECT_EQ(HttpServer.connections(), 0U);
  write(Request);
  EXPECT_FALSE(drainStep());
  drainAndAnswer();
  expectAnswered();
}

// Guards against a drain that ends between two requests that arrived together,
// when the first one was answered before the drain.
TEST_F(ServerDrainTest, waitsForARequestBehindOneThatWasAnswered) {
  write(Request + Request);
  runUntil([&] { return Exchanges.size() == 1; });
  Exchanges.back()->respond(ok(), "one");
  Loop.restart();
  while (HttpServer.inFlight() != 0)
    ASSERT_EQ(Loop.run_one(), 1U);
  EXPECT_FALSE(drainStep());
  runUntil([&] { return Exchanges.size() == 2 || ReadError.failed(); });
  ASSERT_EQ(Exchanges.size(), 2U);
  Exchanges.back()->respond(ok(), "two");
  runUntil([&] { return drainStep(); });
  runUntil([&] { return ReadError.failed(); });
  EXPECT_TRUE(Received.ends_with("two")) << Received;
}

// Guards against a response that is lost because the process closes the socket
// with unread input, which resets the connection.
TEST_F(ServerDrainTest, waitsUntilTheClientHasTheResponseBeforeUnreadInput) {
  request();
  drainStep();
  write(Request);
  Reading = false;
  Exchanges.back()->respond(ok(), "answer");
  poll();
  EXPECT_FALSE(drainStep());
}

// The counterparts: neither a kept connection nor a client that never sends
// delays the end of a drain.
TEST_F(ServerDrainTest, doesNotWaitForAKeptConnection) {
  request();
  Exchanges.back()->respond(ok(), "one");
  runUntil([&] { return Received.ends_with("one"); });
  poll();
  EXPECT_TRUE(drainStep());
}

TEST_F(ServerDrainTest, doesNotWaitForAClientThatSendsNothing) {
  ServerLimits limits;
  limits.FirstRequestTime = core::Millis(50);
  HttpServer.setLimits(limits);
  acceptPeer();
  EXPECT_FALSE(drainStep());
  stall(core::Millis(60));
  EXPECT_TRUE(drainStep());
}

} // namespace
