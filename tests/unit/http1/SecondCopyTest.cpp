#include "unit/http1/ClientFixture.hpp"
#include "unit/http1/ServerFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// A server sends the first response a second time, on the connection that the
/// client uses again. Guards against a caller that gets the answer to another
/// caller's request.
class SecondCopyTest : public ClientTest {
protected:
  void SetUp() override {
    Scripts = {{response("a", "one")}};
    EXPECT_EQ(callAndWait("a")->Body, "one");
  }

  void send(const std::string &bytes) {
    boost::asio::write(*Peers.front(), boost::asio::buffer(bytes));
  }

  void expectOwnResponse(const std::shared_ptr<CallRecorder> &events) {
    runUntil([&] { return events->isFinished(); });
    EXPECT_EQ(events->Failure, std::nullopt);
    EXPECT_EQ(events->Body, "two");
  }

  const std::string Copy = response("a", "one");
  const std::string Own = response("b", "two");
};

TEST_F(SecondCopyTest, beforeTheNextRequestIsSent) {
  send(Copy);
  Scripts = {{Own}};
  expectOwnResponse(call("b"));
  EXPECT_EQ(HttpClient.connectionsOpened(), 2U);
}

TEST_F(SecondCopyTest, aPieceBeforeTheNextRequestIsSent) {
  send(Copy.substr(0, 20));
  Scripts = {{Own}};
  expectOwnResponse(call("b"));
  EXPECT_EQ(HttpClient.connectionsOpened(), 2U);
}

// The connection was quiet when it was chosen.
TEST_F(SecondCopyTest, whileTheNextRequestIsSent) {
  Scripts = {{Own}};
  const auto events = call("b");
  send(Copy);
  expectOwnResponse(events);
  EXPECT_EQ(HttpClient.connectionsOpened(), 1U);
}

TEST_F(SecondCopyTest, inTwoPiecesAroundTheNextRequest) {
  const auto events = call("b");
  send(Copy.substr(0, 20));
  runUntil([&] { return Requests == 2; });
  send(Copy.substr(20));
  runUntil([&] { return true; });
  send(Own);
  expectOwnResponse(events);
}

TEST_F(SecondCopyTest, withinItsBodyInTwoPieces) {
  const auto events = call("b");
  runUntil([&] { return Requests == 2; });
  send(Copy.substr(0, Copy.size() - 1));
  EXPECT_FALSE(events->isFinished());
  send(Copy.substr(Copy.size() - 1) + Own);
  expectOwnResponse(events);
}

TEST_F(SecondCopyTest, afterTheNextRequestWithoutTheId) {
  Scripts = {{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none" + Own}};
  expectOwnResponse(call("b"));
}

/// Returns a rejection with this line of its head, which says that the request
/// did not run.
std::string rejection(const std::string &idLine) {
  return "HTTP/1.1 503 Service Unavailable\r\n" + idLine +
         "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

// Guards against a caller that is told that its request did not run, because of
// an earlier rejection that the server writes once more.
TEST_F(SecondCopyTest, ofARejectionWhileTheNextRequestIsSent) {
  for (const char *idLine : {"Id: a\r\n", ""}) {
    Scripts = {{Own}};
    const auto events = call("b");
    send(rejection(idLine));
    expectOwnResponse(events);
  }
}

TEST_F(SecondCopyTest, ofARejectionAfterTheNextRequest) {
  for (const char *idLine : {"Id: a\r\n", ""}) {
    Scripts = {{rejection(idLine) + Own}};
    expectOwnResponse(call("b"));
  }
}

// Guards against a caller that is told that its request did not run, and
// against a request that runs twice, as the copy of a rejection arrives while
// the same request is under way again: its id doesn't tell the copy from a
// response.
TEST_F(SecondCopyTest, ofARejectionOfTheSameRequest) {
  Scripts = {{response("a", "two")}};
  const auto events = call("a");
  send(rejection("Id: a\r\n"));
  expectOwnResponse(events);
  EXPECT_EQ(HttpClient.connectionsOpened(), 2U);
}

TEST_F(SecondCopyTest, ofTheSameRequestAfterOthers) {
  Scripts = {{response("b", "one")}, {response("a", "two")}};
  callAndWait("b");
  const auto events = call("a");
  send(Copy);
  expectOwnResponse(events);
}

// The place of the connection that can't be used is taken by a new one.
TEST_F(SecondCopyTest, ofTheSameRequestAtTheLimitOfConnections) {
  MaxConnections = 1;
  Scripts = {{response("a", "two")}};
  expectOwnResponse(call("a"));
  EXPECT_EQ(HttpClient.connectionsOpened(), 2U);
}

// A request without an id has a response without one.
TEST_F(SecondCopyTest, whileARequestWithoutAnIdIsSent) {
  Scripts = {{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"}};
  const auto events = call("");
  send(Copy);
  expectOwnResponse(events);
}

TEST_F(SecondCopyTest, ofTheResponseToAnotherRequestWithoutAnId) {
  const std::string empty = "HTTP/1.1 200 OK\r\nContent-Length: ";
  Scripts = {{empty + "3\r\n\r\none"}, {empty + "3\r\n\r\ntwo"}};
  callAndWait("");
  const auto events = call("");
  send(empty + "3\r\n\r\none");
  expectOwnResponse(events);
}

// Behind its own response there is nothing to wait for: the connection is not
// used again.
TEST_F(SecondCopyTest, behindTheNextResponse) {
  Scripts = {{Own + Copy}, {response("c", "three")}};
  expectOwnResponse(call("b"));
  EXPECT_EQ(callAndWait("c")->Body, "three");
}

// Guards against a server that sends a response again, in place of the one to
// the next request of the connection.
TEST_F(ServerTest, lateResponseDoesNotReachTheNextRequest) {
  request();
  const auto first = Exchanges.back();
  first->respond(ok(), "one");
  request();
  first->respond(ok(), "late");
  first->abort();
  Exchanges.back()->respond(ok(), "two");
  runUntil([&] { return ReadError.failed() || Received.ends_with("two"); });
  EXPECT_EQ(Received.find("late"), std::string::npos) << Received;
  EXPECT_FALSE(ReadError.failed());
}

TEST_F(ServerTest, nothingIsSentBehindTheEndOfAResponse) {
  request();
  Exchanges.back()->begin(ok(Framing::Chunked));
  Exchanges.back()->send(std::string(256, 'x'));
  Exchanges.back()->end();
  Exchanges.back()->send("late");
  runUntil([&] { return HttpServer.inFlight() == 0; });
  request();
  Exchanges.back()->respond(ok(), "two");
  runUntil([&] { return Received.ends_with("two"); });
  EXPECT_EQ(Received.find("late"), std::string::npos);
}

} // namespace
