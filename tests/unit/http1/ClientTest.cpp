#include "support/LoopFixture.hpp"

#include "cowslipridge/http1/Client.hpp"
#include "cowslipridge/http1/Fetch.hpp"

#include <deque>

using namespace cowslipridge;
using namespace cowslipridge::http1;
using support::CallRecorder;

namespace {

/// Calls a server that writes scripted bytes. Each request, on any connection,
/// consumes one script.
class ClientTest : public support::LoopFixture {
protected:
  ClientTest()
      : Acceptor(Loop, anyPort()), Address(Acceptor.local_endpoint()),
        HttpClient(Loop, Clock, {}) {
    accept();
  }

  struct Script {
    std::string Bytes;
    bool Close = false;
    std::string Repeated = {}; ///< written again and again after `Bytes`
  };

  void accept() {
    Acceptor.async_accept([this](const auto &ec, Socket socket) {
      if (ec)
        return;
      Peers.push_back(std::make_shared<Socket>(std::move(socket)));
      serve(Peers.back());
      accept();
    });
  }

  void serve(const std::shared_ptr<Socket> &peer) {
    const auto input = std::make_shared<std::string>();
    boost::asio::async_read_until(
        *peer, boost::asio::dynamic_buffer(*input), "\r\n\r\n",
        [this, peer, input](const auto &ec, std::size_t) {
          if (ec)
            return;
          ++Requests;
          if (Scripts.empty())
            return;
          const Script script = Scripts.front();
          Scripts.pop_front();
          boost::asio::write(*peer, boost::asio::buffer(script.Bytes));
          if (!script.Repeated.empty())
            writeWithoutEnd(peer, script.Repeated);
          else if (script.Close)
            peer->close();
          else
            serve(peer);
        });
  }

  void writeWithoutEnd(const std::shared_ptr<Socket> &peer,
                       const std::string &text) {
    const auto bytes = std::make_shared<std::string>();
    while (bytes->size() < 16'384)
      *bytes += text;
    boost::asio::async_write(
        *peer, boost::asio::buffer(*bytes),
        [this, peer, bytes, text](const auto &ec, std::size_t n) {
          Written += n;
          if (!ec)
            writeWithoutEnd(peer, text);
        });
  }

  /// Expects that the client gives up on the endless bytes long before the
  /// call's timeout, and closes the connection.
  void expectGivesUp(CallFailure failure) {
    constexpr std::size_t MaxWritten = 32UL * 1024 * 1024;
    CallTimeout = core::Millis(60'000);
    EXPECT_EQ(callAndWait()->Failure, failure);
    EXPECT_LT(Written, MaxWritten);
  }

  std::shared_ptr<CallRecorder> call(const std::string &id = "a") {
    auto events = std::make_shared<CallRecorder>();
    CallSpec spec;
    spec.Server = Address;
    spec.Bytes = "GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n";
    spec.EchoField = "Id";
    spec.EchoValue = id;
    spec.Timeout = CallTimeout;
    spec.MaxConnections = MaxConnections;
    Handle = HttpClient.call(std::move(spec), events);
    return events;
  }

  std::shared_ptr<CallRecorder> callAndWait(const std::string &id = "a") {
    auto events = call(id);
    runUntil([&] { return events->isFinished(); });
    return events;
  }

  static std::string response(const std::string &id, const std::string &body) {
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  Tcp::acceptor Acceptor;
  Endpoint Address;
  Client HttpClient;
  std::vector<std::shared_ptr<Socket>> Peers;
  std::deque<Script> Scripts;
  std::shared_ptr<Call> Handle;
  core::Millis CallTimeout{5'000};
  std::size_t MaxConnections = 4;
  int Requests = 0;
  std::size_t Written = 0; ///< bytes of endless responses
};

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
