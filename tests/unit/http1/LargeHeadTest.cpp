#include "unit/http1/ServerFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// Sends heads and chunked bodies whose parts exceed the buffer for pipelined
/// requests.
class LargeHeadTest : public ServerTest {
protected:
  static constexpr std::size_t HeadLimit = 128UL * 1024;
  static constexpr core::Millis HeadTime{300};

  void accept() {
    ServerLimits limits;
    limits.Request.MaxHeaderBytes = HeadLimit;
    limits.HeaderTimeout = HeadTime;
    limits.IdleTimeout = HeadTime;
    HttpServer.setLimits(limits);
    runUntil([&] { return HttpServer.connections() == 1; });
  }

  /// Writes while the server reads.
  void writeAll(const std::string &text) {
    Outgoing = text;
    boost::asio::async_write(Peer, boost::asio::buffer(Outgoing),
                             [](const auto &, std::size_t) {});
  }

  static std::string head(std::size_t bytes) {
    return "GET /x HTTP/1.1\r\nHost: h\r\nFiller: " + std::string(bytes, 'x');
  }
  static std::string chunkedHead() {
    return "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  /// Runs the loop for this time and returns the number of handlers it called.
  std::size_t handlersWithin(core::Millis time) {
    Loop.restart();
    return Loop.run_for(std::chrono::milliseconds(time.count()));
  }

  std::string Outgoing;
};

// A handler each millisecond would be two orders above what these need.
constexpr std::size_t FewHandlers = 100;

// Guards against heads within the configured limit that are never answered.
TEST_F(LargeHeadTest, headWithinTheLimitIsPassedOn) {
  accept();
  writeAll(head(100'000) + "\r\n\r\n");
  runUntil([&] { return !Exchanges.empty() || !Received.empty(); });
  ASSERT_EQ(Exchanges.size(), 1U) << Received;
  EXPECT_EQ(Exchanges.back()->head().Fields.find("Filler")->size(), 100'000U);
}

TEST_F(LargeHeadTest, headBeyondTheLimitIsRejected) {
  accept();
  writeAll(head(HeadLimit) + "\r\n\r\n");
  runUntil([&] { return !Received.empty(); });
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 431 ")) << Received;
}

// Guards against a loop that spins for a connection that it doesn't read.
TEST_F(LargeHeadTest, headThatNeverEndsTimesOutWithoutSpinning) {
  accept();
  writeAll(head(100'000));
  const std::size_t handlers = handlersWithin(HeadTime * 3);
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 408 ")) << Received;
  EXPECT_LT(handlers, FewHandlers);
}

TEST_F(LargeHeadTest, chunkSizeLineThatNeverEndsIsRejectedWithoutSpinning) {
  accept();
  writeAll(chunkedHead() + "5;" + std::string(HeadLimit + 4'096, 'x'));
  const std::size_t handlers = handlersWithin(HeadTime * 3);
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 431 ")) << Received;
  EXPECT_LT(handlers, FewHandlers);
}

TEST_F(LargeHeadTest, trailersThatNeverEndAreRejectedWithoutSpinning) {
  accept();
  writeAll(chunkedHead() +
           "0\r\nFiller: " + std::string(HeadLimit + 4'096, 'x'));
  const std::size_t handlers = handlersWithin(HeadTime * 3);
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 431 ")) << Received;
  EXPECT_LT(handlers, FewHandlers);
}

// The reading that pauses behind a request in progress goes on after it.
TEST_F(LargeHeadTest, largeHeadBehindARequestInProgressIsPassedOnAfterIt) {
  accept();
  writeAll(head(10) + "\r\n\r\n" + head(100'000) + "\r\n\r\n");
  runUntil([&] { return Exchanges.size() == 1; });
  EXPECT_LT(handlersWithin(HeadTime * 2), FewHandlers);
  Exchanges.back()->respond(ok(), "one");
  runUntil([&] { return Exchanges.size() == 2 || ReadError.failed(); });
  EXPECT_EQ(Exchanges.size(), 2U);
}

} // namespace
