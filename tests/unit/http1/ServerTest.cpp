#include "support/LoopFixture.hpp"

#include "cowslipridge/http1/Server.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// Size of a body that the socket buffers of a connection can't hold.
constexpr std::size_t MoreThanSocketBuffers = 32UL * 1024 * 1024;

class ServerTest : public support::LoopFixture {
protected:
  ServerTest()
      : HttpServer(Loop, Clock,
                   [this](std::shared_ptr<Exchange> it) {
                     Exchanges.push_back(std::move(it));
                   }),
        Peer(Loop) {
    // Finds a free port.
    Tcp::acceptor probe(Loop, anyPort());
    Address = probe.local_endpoint();
    probe.close();
    HttpServer.listen(Address);
    boost::system::error_code ec;
    Peer.connect(Address, ec);
    EXPECT_FALSE(ec);
    Peer.non_blocking(true);
    readMore();
  }

  void readMore() {
    Peer.async_read_some(boost::asio::buffer(Chunk),
                         [this](const auto &ec, std::size_t n) {
                           Received.append(Chunk.data(), n);
                           if (ec)
                             ReadError = ec;
                           else if (Reading)
                             readMore();
                         });
  }

  void write(const std::string &text) {
    boost::asio::write(Peer, boost::asio::buffer(text));
  }
  void request(const std::string &fields = "") {
    write("GET /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
    const std::size_t before = Exchanges.size();
    runUntil([&] { return Exchanges.size() > before; });
  }

  /// Reads on after a pause, and stops the server once nothing is in flight.
  void readPausedResponse() {
    runUntil([&] { return !Received.empty(); });
    EXPECT_EQ(HttpServer.inFlight(), 1U);
    Reading = true;
    readMore();
    runUntil([&] { return HttpServer.inFlight() == 0; });
    HttpServer.stop();
    runUntil([&] { return !!ReadError; });
  }

  Server HttpServer;
  Socket Peer;
  Endpoint Address;
  std::vector<std::shared_ptr<Exchange>> Exchanges;
  std::array<char, 4096> Chunk{};
  std::string Received;
  bool Reading = true; ///< after each chunk, whether to read the next one
  boost::system::error_code ReadError;
};

ResponseHead ok(Framing framing = Framing::None) {
  ResponseHead head;
  head.Body = framing;
  return head;
}

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
