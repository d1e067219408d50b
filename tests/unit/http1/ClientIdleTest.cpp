#include "unit/http1/ClientFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// Lets a server act on an idle connection while the loop handles nothing, so
/// that the next call takes the connection from the pool before the client has
/// seen what happened.
class ClientIdleTest : public ClientTest {
protected:
  void SetUp() override {
    Scripts = {{response("a", "one")}, {response("b", "two")}};
    EXPECT_EQ(callAndWait("a")->Body, "one");
  }

  void expectSecondCallUsesAnotherConnection() {
    const auto events = callAndWait("b");
    EXPECT_EQ(events->Failure, std::nullopt);
    EXPECT_EQ(events->Body, "two");
    EXPECT_EQ(HttpClient.connectionsOpened(), 2U);
  }
};

// Guards against a non-idempotent request that runs at two runners: bytes that
// arrived before it was sent were taken for its rejection, so that it was sent
// to another runner while the first one ran it.
TEST_F(ClientIdleTest, bytesBeforeARequestAreNotTakenForItsResponse) {
  const std::string rejection =
      "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
  boost::asio::write(*Peers.front(), boost::asio::buffer(rejection));
  expectSecondCallUsesAnotherConnection();
}

// Guards against a request that fails as one that may have run, because it was
// sent on a connection that the server had closed before.
TEST_F(ClientIdleTest, noRequestIsSentOnAConnectionThatTheServerClosed) {
  Peers.front()->close();
  expectSecondCallUsesAnotherConnection();
}

// Guards against a connection that stays in the pool after it was found
// unusable, and against one that is discarded although nothing arrived.
TEST_F(ClientIdleTest, quietConnectionIsUsedAgain) {
  EXPECT_EQ(callAndWait("b")->Body, "two");
  EXPECT_EQ(HttpClient.connectionsOpened(), 1U);
}

} // namespace
