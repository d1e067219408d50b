#include "unit/http1/ClientFixture.hpp"

#include "cowslipridge/http1/Fetch.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

TEST_F(ClientTest, sendsTheSharedBodyBehindTheHead) {
  const auto body = std::make_shared<const std::string>("the body");
  Scripts.push_back({response("a", "ok"), false});
  CallSpec spec;
  spec.Server = Address;
  RequestHead head;
  head.Method = "POST";
  head.Target = "/";
  spec.Bytes = writeRequestHead(head, body->size());
  spec.Body = body;
  spec.Timeout = CallTimeout;
  const auto events = std::make_shared<CallRecorder>();
  HttpClient.call(std::move(spec), events);
  runUntil([&] { return events->isFinished(); });
  EXPECT_EQ(events->Body, "ok");
  EXPECT_EQ(LastRequest,
            "POST / HTTP/1.1\r\nContent-Length: 8\r\n\r\nthe body");
  runUntil([&] { return body.use_count() == 1; });
}

TEST_F(ClientTest, reusesIdleConnection) {
  Scripts = {{response("a", "one")}, {response("b", "two")}};
  EXPECT_EQ(callAndWait("a")->Body, "one");
  EXPECT_EQ(callAndWait("b")->Body, "two");
  EXPECT_EQ(HttpClient.connectionsOpened(), 1U);
}

TEST_F(ClientTest, skipsResponseWhoseEchoFieldNamesAnotherRequest) {
  // The duplicate of the first response arrives ahead of the second response.
  Scripts = {{response("a", "one")},
             {response("a", "one") + response("b", "two")}};
  EXPECT_EQ(callAndWait("a")->Body, "one");
  EXPECT_EQ(callAndWait("b")->Body, "two");
}

// Guards against a non-idempotent request that runs at two runners: additional
// bytes that arrived after it was sent were taken for its rejection.
TEST_F(ClientTest, skipsResponseWithoutTheEchoField) {
  Scripts = {{"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n" +
              response("a", "one")}};
  const auto events = callAndWait("a");
  EXPECT_EQ(events->Status, 200);
  EXPECT_EQ(events->Body, "one");
}

// Guards against an answer to another request that names this one, too.
TEST_F(ClientTest, responseThatNamesTwoRequestsIsMalformed) {
  for (const char *other : {"a", "b"}) {
    const std::string second = std::string("Id: ") + other + "\r\n";
    for (const std::string &ids :
         {"Id: a\r\n" + second, second + "Id: a\r\n"}) {
      Scripts = {{"HTTP/1.1 200 OK\r\n" + ids + "Content-Length: 2\r\n\r\nok"}};
      const auto events = callAndWait("a");
      EXPECT_EQ(events->Failure, CallFailure::Malformed) << ids;
      EXPECT_EQ(events->Status, 0) << ids;
    }
  }
}

TEST_F(ClientTest, closesConnectionAfterUnsolicitedBytes) {
  Scripts = {{response("a", "one") + response("a", "one")},
             {response("b", "two")}};
  EXPECT_EQ(callAndWait("a")->Body, "one");
  EXPECT_EQ(callAndWait("b")->Body, "two");
  EXPECT_EQ(HttpClient.connectionsOpened(), 2U);
}

TEST_F(ClientTest, truncatedResponseFailsAsBroken) {
  Scripts = {
      {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\npart", true}};
  const auto events = callAndWait();
  EXPECT_EQ(events->Failure, CallFailure::Broken);
  EXPECT_FALSE(events->Ended);
}

// The failure is distinct from NotConnected, since the server may have
// processed the request.
TEST_F(ClientTest, closeBeforeResponseFailsAsBrokenBeforeResponse) {
  Scripts = {{"", true}};
  EXPECT_EQ(callAndWait()->Failure, CallFailure::BrokenBeforeResponse);
}

TEST_F(ClientTest, bodyWithoutLengthIsCompleteOnClose) {
  Scripts = {{"HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole", true}};
  const auto events = callAndWait();
  EXPECT_TRUE(events->Ended);
  EXPECT_EQ(events->Body, "whole");
}

TEST_F(ClientTest, refusedConnectionFailsAsNotConnected) {
  Acceptor.close();
  EXPECT_EQ(callAndWait()->Failure, CallFailure::NotConnected);
}

TEST_F(ClientTest, timesOutWhenServerDoesNotRespond) {
  CallTimeout = core::Millis(100);
  EXPECT_EQ(callAndWait()->Failure, CallFailure::TimedOut);
}

TEST_F(ClientTest, rejectsCallBeyondConnectionLimit) {
  MaxConnections = 1;
  const auto first = call("a");
  EXPECT_EQ(callAndWait("b")->Failure, CallFailure::ConnectionLimitReached);
  EXPECT_FALSE(first->isFinished());
}

// Guards against a process whose descriptors end because of idle connections.
TEST_F(ClientTest, idleConnectionToAnotherServerYieldsAtTheLimitOfAll) {
  ClientLimits limits;
  limits.MaxConnections = 1;
  Client limited(Loop, Clock, limits);
  Tcp::acceptor other(Loop, anyPort());
  const auto callTo = [&](const Endpoint &server) {
    auto events = std::make_shared<CallRecorder>();
    CallSpec spec;
    spec.Server = server;
    spec.Bytes = requestBytes("a");
    spec.Timeout = CallTimeout;
    Handle = limited.call(std::move(spec), events);
    return events;
  };
  Scripts = {{response("a", "one")}};
  const auto first = callTo(Address);
  runUntil([&] { return first->isFinished(); });
  callTo(other.local_endpoint());
  std::optional<Socket> accepted;
  other.async_accept(
      [&](const auto &, Socket it) { accepted = std::move(it); });
  runUntil([&] { return accepted.has_value(); });
  const auto third = callTo(Address);
  runUntil([&] { return third->isFinished(); });
  EXPECT_EQ(third->Failure, CallFailure::ConnectionLimitReached);
}

TEST_F(ClientTest, cancelledCallReportsNoEventAndClosesConnection) {
  const auto events = call();
  runUntil([&] { return Requests == 1; });
  Handle->cancel();
  bool closed = false;
  std::array<char, 1> byte{};
  Peers.front()->async_read_some(boost::asio::buffer(byte),
                                 [&](const auto &ec, auto) { closed = !!ec; });
  runUntil([&] { return closed; });
  EXPECT_FALSE(events->isFinished());
}

TEST_F(ClientTest, progressTellsWhetherTheRequestMayHaveLeft) {
  Scripts = {{response("a", "one")}};
  const auto first = call("a");
  EXPECT_FALSE(Handle->progress().Sent);
  runUntil([&] { return first->isFinished(); });
  EXPECT_TRUE(Handle->progress().Connected);
  EXPECT_TRUE(Handle->progress().Sent);
  EXPECT_FALSE(Handle->progress().Reused);
  call("b");
  EXPECT_TRUE(Handle->progress().Reused);
  EXPECT_TRUE(Handle->progress().Sent);
}

TEST_F(ClientTest, handleOfCompletedCallDoesNotCancelLaterCall) {
  Scripts = {{response("a", "one")}};
  callAndWait("a");
  const auto completed = Handle;
  const auto events = call("b");
  runUntil([&] { return Requests == 2; });
  completed->cancel();
  boost::asio::write(*Peers.front(), boost::asio::buffer(response("b", "two")));
  runUntil([&] { return events->isFinished(); });
  EXPECT_EQ(events->Body, "two");
}

TEST_F(ClientTest, doesNotReuseConnectionBeyondItsKeepAliveTimeout) {
  Scripts = {{"HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=0\r\n"
              "Content-Length: 0\r\n\r\n"},
             {response("b", "two")}};
  callAndWait("a");
  EXPECT_EQ(callAndWait("b")->Body, "two");
  EXPECT_EQ(HttpClient.connectionsOpened(), 2U);
}

// Guards against a faulty server that sends bytes without end: they would fill
// the memory, or keep the processor busy until the timeout.
TEST_F(ClientTest, givesUpOnAHeadWithoutEnd) {
  Scripts = {{"HTTP/1.1 200 OK\r\nId: ", false, "aaaaaaaa"}};
  expectGivesUp(CallFailure::Malformed);
}

TEST_F(ClientTest, givesUpOnFieldsWithoutEnd) {
  Scripts = {{"HTTP/1.1 200 OK\r\n", false, "X: y\r\n"}};
  expectGivesUp(CallFailure::Malformed);
}

TEST_F(ClientTest, givesUpOnBytesThatAreNoHead) {
  Scripts = {{"\x7f", false, "\x01\x02"}};
  expectGivesUp(CallFailure::Malformed);
}

TEST_F(ClientTest, givesUpOnInterimResponsesWithoutEnd) {
  Scripts = {{"", false, "HTTP/1.1 100 Continue\r\n\r\n"}};
  expectGivesUp(CallFailure::Malformed);
}

TEST_F(ClientTest, givesUpOnResponsesToOtherRequestsWithoutEnd) {
  Scripts = {{"", false, response("b", "other")}};
  expectGivesUp(CallFailure::BrokenBeforeResponse);
}

TEST_F(ClientTest, givesUpOnTheBodyOfAnotherRequestWithoutEnd) {
  Scripts = {{"HTTP/1.1 200 OK\r\nId: b\r\n\r\n", false, "other"}};
  expectGivesUp(CallFailure::BrokenBeforeResponse);
}

TEST_F(ClientTest, givesUpOnAChunkHeadWithoutEnd) {
  Scripts = {{"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: "
              "chunked\r\n\r\n5;",
              false, "extension"}};
  expectGivesUp(CallFailure::Broken);
}

TEST_F(ClientTest, givesUpOnTrailersWithoutEnd) {
  Scripts = {{"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: "
              "chunked\r\n\r\n0\r\n",
              false, "X: y\r\n"}};
  expectGivesUp(CallFailure::Broken);
}

// Guards against a fetch that ends more than once, as nobody else holds its
// call.
TEST_F(ClientTest, fetchOfABodyThatIsTooLongEndsOnce) {
  Scripts = {{"HTTP/1.1 200 OK\r\n\r\n", false, "x"}};
  CallSpec spec;
  spec.Server = Address;
  spec.Bytes = requestBytes("a");
  spec.Timeout = core::Millis(60'000);
  std::vector<FetchResult> results;
  fetch(HttpClient, std::move(spec),
        [&](FetchResult it) { results.push_back(std::move(it)); });
  runUntil([&] { return !results.empty(); });
  stall(core::Millis(20));
  runUntil([] { return true; });
  EXPECT_EQ(results.size(), 1U);
  EXPECT_EQ(results.front().Defect, "the body is too long");
}

TEST_F(ClientTest, fetchGivesUpOnABodyWithoutEnd) {
  Scripts = {{"HTTP/1.1 200 OK\r\n\r\n", false, "bytes"}};
  CallSpec spec;
  spec.Server = Address;
  spec.Bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  spec.Timeout = core::Millis(60'000);
  std::optional<FetchResult> result;
  Handle = fetch(HttpClient, std::move(spec),
                 [&](const FetchResult &it) { result = it; });
  runUntil([&] { return result.has_value(); });
  EXPECT_EQ(result->Status, 0);
  EXPECT_EQ(result->Failure, CallFailure::Broken);
  EXPECT_TRUE(result->Body.empty());
}

// A reset is no end of a body without a length.
TEST_F(ClientTest, resetOfABodyWithoutLengthFailsAsBroken) {
  Scripts = {{"HTTP/1.1 200 OK\r\nId: a\r\n\r\npart"}};
  const auto events = call();
  runUntil([&] { return events->Body == "part"; });
  reset(*Peers.back());
  runUntil([&] { return events->isFinished(); });
  EXPECT_EQ(events->Failure, CallFailure::Broken);
}

} // namespace
