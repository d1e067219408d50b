#include "unit/http1/ServerFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// Size of a body that the socket buffers of a connection can't hold.
constexpr std::size_t MoreThanSocketBuffers = 32UL * 1024 * 1024;

TEST_F(ServerTest, respondsToSuccessiveRequestsOnOneConnection) {
  request();
  Exchanges.back()->respond(ok(), "one");
  request();
  Exchanges.back()->respond(ok(), "two");
  runUntil([&] { return Received.ends_with("two"); });
  EXPECT_NE(Received.find("Content-Length: 3\r\n\r\none"), std::string::npos);
  EXPECT_EQ(HttpServer.inFlight(), 0U);
}

TEST_F(ServerTest, handlesPipelinedRequestsInOrder) {
  write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  runUntil([&] { return Exchanges.size() == 1; });
  EXPECT_EQ(Exchanges.back()->head().Target, "/1");
  Exchanges.back()->respond(ok(), "one");
  runUntil([&] { return Exchanges.size() == 2; });
  EXPECT_EQ(Exchanges.back()->head().Target, "/2");
}

TEST_F(ServerTest, streamsChunksAndLastChunk) {
  request();
  Exchanges.back()->begin(ok(Framing::UntilClose));
  Exchanges.back()->send("abc");
  Exchanges.back()->end();
  runUntil([&] { return Received.ends_with("3\r\nabc\r\n0\r\n\r\n"); });
}

// Guards against bytes behind a head that belong to no response.
TEST_F(ServerTest, responseToAHeadRequestHasNoLastChunk) {
  write("HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n");
  runUntil([&] { return !Exchanges.empty(); });
  Exchanges.back()->begin(ok(Framing::Chunked));
  Exchanges.back()->end();
  request();
  Exchanges.back()->respond(ok(), "next");
  runUntil([&] { return Received.ends_with("next"); });
  EXPECT_EQ(Received.find("0\r\n\r\n"), std::string::npos) << Received;
}

TEST_F(ServerTest, abortedResponseHasNoLastChunk) {
  request();
  Exchanges.back()->begin(ok(Framing::Chunked));
  Exchanges.back()->send("abc");
  runUntil([&] { return Received.ends_with("abc\r\n"); });
  Exchanges.back()->abort();
  runUntil([&] { return !!ReadError; });
  EXPECT_EQ(Received.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(ServerTest, reportsClientDisconnectWhileRequestIsInFlight) {
  request();
  bool disconnected = false;
  Exchanges.back()->onClientDisconnect([&] { disconnected = true; });
  Peer.close();
  runUntil([&] { return disconnected; });
  EXPECT_EQ(HttpServer.inFlight(), 0U);
}

TEST_F(ServerTest, respondsWith400AndClosesOnMalformedRequest) {
  write("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
  runUntil([&] { return !!ReadError; });
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 400 "));
  EXPECT_NE(Received.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(Exchanges.empty());
}

TEST_F(ServerTest, respondsWith408WhenRequestHeadTimesOut) {
  ServerLimits limits;
  limits.HeaderTimeout = core::Millis(50);
  limits.IdleTimeout = core::Millis(50);
  HttpServer.setLimits(limits);
  write("GET / HTTP/1.1\r\n");
  runUntil([&] { return !!ReadError; });
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 408 ")) << Received;
}

TEST_F(ServerTest, drainingClosesConnectionAfterResponse) {
  request();
  HttpServer.closeAfterResponses();
  HttpServer.closeIdle();
  EXPECT_EQ(HttpServer.connections(), 1U)
      << "the connection with a request in flight";
  Exchanges.back()->respond(ok(), "last");
  runUntil([&] { return !!ReadError; });
  EXPECT_NE(Received.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(Received.ends_with("last"));
}

// Guards against a drain that closes a connection between the end of a response
// and the write of its last bytes.
TEST_F(ServerTest, countsRequestInFlightUntilLastByteIsWritten) {
  const std::string body(MoreThanSocketBuffers, 'x');
  request();
  Reading = false;
  Exchanges.back()->respond(ok(), body);
  readPausedResponse();
  EXPECT_TRUE(Received.ends_with(body));
}

TEST_F(ServerTest, countsStreamInFlightUntilLastChunkIsWritten) {
  request();
  Reading = false;
  Exchanges.back()->begin(ok(Framing::Chunked));
  Exchanges.back()->send(std::string(MoreThanSocketBuffers, 'x'));
  Exchanges.back()->end();
  readPausedResponse();
  EXPECT_TRUE(Received.ends_with("x\r\n0\r\n\r\n"));
}

TEST_F(ServerTest, unwrittenResponseIsNotInFlightOnceClientDisconnected) {
  request();
  Reading = false;
  Exchanges.back()->respond(ok(), std::string(MoreThanSocketBuffers, 'x'));
  runUntil([&] { return !Received.empty(); });
  Peer.close();
  runUntil([&] { return HttpServer.inFlight() == 0; });
}

TEST_F(ServerTest, sends100ContinueWhenExpected) {
  write("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
        "Content-Length: 2\r\n\r\n");
  runUntil([&] { return Received == "HTTP/1.1 100 Continue\r\n\r\n"; });
  write("ab");
  runUntil([&] { return Exchanges.size() == 1; });
  EXPECT_EQ(Exchanges.back()->body(), "ab");
}

} // namespace
