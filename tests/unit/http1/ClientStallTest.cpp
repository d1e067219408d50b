#include "unit/http1/ClientFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// Stalls the loop while a call waits, so that the end of the wait and its
/// timeout are due in the same turn of the loop.
class ClientStallTest : public ClientTest {
protected:
  static constexpr core::Millis Excess{50};

  /// Makes the next call as soon as the previous one has ended.
  class CallWhenEnded final : public CallEvents {
  public:
    explicit CallWhenEnded(std::function<void()> next)
        : Next(std::move(next)) {}
    void onHead(const ResponseHead & /*head*/) override {}
    void onData(std::string_view /*data*/) override {}
    void onEnd() override { Next(); }
    void onFailure(CallFailure /*failure*/) override { Next(); }

  private:
    std::function<void()> Next;
  };
};

// Guards against a request that runs at two runners: it was sent on the new
// connection, and its call then failed as never connected.
TEST_F(ClientStallTest, expiredConnectTimeoutDoesNotFailARequestThatWasSent) {
  Scripts = {{response("a", "one")}};
  const auto events = call();
  stall(Limits.ConnectTimeout + Excess);
  runUntil([&] { return events->isFinished(); });
  EXPECT_EQ(Requests, 1);
  EXPECT_EQ(events->Failure, std::nullopt);
  EXPECT_EQ(events->Body, "one");
}

// Guards against a call that fails by the timeout of the call before it on the
// same connection.
TEST_F(ClientStallTest, expiredTimeoutOfACompletedCallDoesNotFailTheNextOne) {
  Scripts = {{""}, {response("b", "two")}};
  std::shared_ptr<CallRecorder> second;
  CallTimeout = core::Millis(500);
  call("a", std::make_shared<CallWhenEnded>([&] { second = call("b"); }));
  runUntil([&] { return Requests == 1; });
  boost::asio::write(*Peers.front(), boost::asio::buffer(response("a", "one")));
  stall(CallTimeout + Excess);
  runUntil([&] { return second && second->isFinished(); });
  EXPECT_EQ(HttpClient.connectionsOpened(), 1U);
  EXPECT_EQ(second->Failure, std::nullopt);
  EXPECT_EQ(second->Body, "two");
}

// Guards against a call on a reused connection that times out although its
// response was there before the loop went on.
TEST_F(ClientStallTest, responseOnAReusedConnectionWinsOverAnExpiredTimeout) {
  Scripts = {{response("a", "one")}, {""}};
  CallTimeout = core::Millis(500);
  callAndWait("a");
  const auto events = call("b");
  runUntil([&] { return Requests == 2; });
  boost::asio::write(*Peers.front(), boost::asio::buffer(response("b", "two")));
  stall(CallTimeout + Excess);
  runUntil([&] { return events->isFinished(); });
  EXPECT_EQ(HttpClient.connectionsOpened(), 1U);
  EXPECT_EQ(events->Failure, std::nullopt);
  EXPECT_EQ(events->Body, "two");
}

// Guards against a request that tells its server more time than is left,
// because it was written before the connection was established.
TEST_F(ClientStallTest, requestIsWrittenAnewAfterConnecting) {
  constexpr core::Millis Stall{100};
  Scripts = {{response("b", "two")}};
  std::optional<core::Millis> waited;
  Recompose = [&](core::Millis length) {
    waited = length;
    return requestBytes("b");
  };
  const auto events = call("b");
  stall(Stall);
  runUntil([&] { return events->isFinished(); });
  ASSERT_TRUE(waited.has_value());
  EXPECT_GE(*waited, Stall);
  EXPECT_EQ(events->Body, "two");
}

// Guards against a call that takes effect at its server although it has failed:
// it was sent after its own timeout had expired.
TEST_F(ClientStallTest, requestIsNotSentAfterItsTimeout) {
  CallTimeout = core::Millis(100);
  const auto events = call();
  stall(CallTimeout + Excess);
  runUntil([&] { return events->isFinished(); });
  EXPECT_EQ(events->Failure, CallFailure::TooLateToSend);
  EXPECT_EQ(Requests, 0);
}

// Guards against a request that is sent although its time is over, and ends as
// one that may have run.
TEST_F(ClientStallTest, requestWhoseTimeIsOverAfterConnectingIsNotSent) {
  Recompose = [](core::Millis) { return std::nullopt; };
  const auto events = call();
  stall(Excess);
  runUntil([&] { return events->isFinished(); });
  EXPECT_EQ(events->Failure, CallFailure::TooLateToSend);
  EXPECT_FALSE(Handle->progress().Sent);
  EXPECT_EQ(Requests, 0);
}

} // namespace
