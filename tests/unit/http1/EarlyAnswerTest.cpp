#include "unit/http1/ClientFixture.hpp"

#include <array>

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// A server that responds while a long request is still being written to it.
/// The response has no length: it ends with its connection.
class EarlyAnswerTest : public ClientTest {
protected:
  static constexpr std::size_t BodyBytes = 16UL * 1024 * 1024;
  static constexpr int SocketBufferBytes = 16 * 1024;

  EarlyAnswerTest() {
    // Most of the request waits at the client.
    Acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(SocketBufferBytes));
    Scripts = {{"HTTP/1.1 200 OK\r\nId: a\r\n\r\npart"}};
  }

  /// Returns once the client has received the first part of the response.
  std::shared_ptr<CallRecorder> callUntilPartIsReceived() {
    CallSpec spec;
    spec.Server = Address;
    RequestHead head;
    head.Method = "POST";
    head.Target = "/";
    head.Fields.add("Id", "a");
    spec.Bytes = writeRequestHead(head, BodyBytes);
    spec.Body = std::make_shared<const std::string>(BodyBytes, 'x');
    spec.EchoField = "Id";
    spec.EchoValue = "a";
    spec.Timeout = CallTimeout;
    auto events = std::make_shared<CallRecorder>();
    Handle = HttpClient.call(std::move(spec), events);
    runUntil([&] { return events->Body == "part"; });
    return events;
  }

  static void readRest(const std::shared_ptr<Socket> &peer) {
    const auto buf = std::make_shared<std::array<char, 65'536>>();
    peer->async_read_some(boost::asio::buffer(*buf),
                          [peer, buf](const auto &ec, std::size_t) {
                            if (!ec)
                              readRest(peer);
                          });
  }
};

// Guards against a part of an answer that callers get as the whole: the write
// received the reset, after which the read saw an orderly end.
TEST_F(EarlyAnswerTest, isNotCompleteIfTheConnectionIsReset) {
  const auto events = callUntilPartIsReceived();
  reset(*Peers.back());
  runUntil([&] { return events->isFinished(); });
  EXPECT_FALSE(events->Ended);
  EXPECT_EQ(events->Failure, CallFailure::Broken);
}

TEST_F(EarlyAnswerTest, isNotCompleteIfTheResetArrivesWhileTheClientIsPaused) {
  const auto events = callUntilPartIsReceived();
  Handle->pause();
  reset(*Peers.back());
  stall(core::Millis(20));
  runUntil([] { return true; });
  Handle->resume();
  runUntil([&] { return events->isFinished(); });
  EXPECT_FALSE(events->Ended);
  EXPECT_EQ(events->Failure, CallFailure::Broken);
}

// The process of a server that ends closes its connections in the same way as
// the end of a response, and resets them when the rest of the request arrives.
TEST_F(EarlyAnswerTest, isNotCompleteIfTheServerEndsWithoutReadingTheRequest) {
  const auto events = callUntilPartIsReceived();
  boost::system::error_code ignored;
  Peers.back()->shutdown(Socket::shutdown_send, ignored);
  stall(core::Millis(20));
  runUntil([] { return true; });
  EXPECT_FALSE(events->isFinished());
  reset(*Peers.back());
  runUntil([&] { return events->isFinished(); });
  EXPECT_FALSE(events->Ended);
  EXPECT_EQ(events->Failure, CallFailure::Broken);
}

TEST_F(EarlyAnswerTest, isCompleteOnceTheRequestHasBeenWritten) {
  const auto events = callUntilPartIsReceived();
  boost::system::error_code ignored;
  Peers.back()->shutdown(Socket::shutdown_send, ignored);
  readRest(Peers.back());
  runUntil([&] { return events->isFinished(); });
  EXPECT_TRUE(events->Ended);
  EXPECT_EQ(events->Body, "part");
}

} // namespace
