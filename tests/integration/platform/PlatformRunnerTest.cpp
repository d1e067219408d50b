#include "support/LoopFixture.hpp"

#include "standins/platform/PlainRunner.hpp"
#include "standins/platform/StreamingRunner.hpp"

#include <nlohmann/json.hpp>

#include <vector>

using namespace cowslipridge;
using namespace cowslipridge::standins::platform;
using core::Millis;
using support::CallRecorder;

namespace {

class PlatformRunnerTest : public support::LoopFixture {
protected:
  using Reply = std::shared_ptr<CallRecorder>;

  PlatformRunnerTest() : Client(Loop, Clock, {}) { Address = ownAddress(); }

  Reply send(const std::string &path, const std::string &fields = "") {
    auto reply = std::make_shared<CallRecorder>();
    http1::CallSpec spec;
    spec.Server = Address;
    spec.Bytes = "GET " + path + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a" +
                 std::to_string(++RequestCount) + "\r\n" + fields + "\r\n";
    spec.Timeout = Millis(10'000);
    PendingCalls.push_back(Client.call(std::move(spec), reply));
    return reply;
  }
  Reply awaitResponse(Reply reply) {
    runUntil([&] { return reply->isFinished(); });
    return reply;
  }
  nlohmann::json report() {
    return nlohmann::json::parse(awaitResponse(send("/v1/report"))->Body);
  }

  int coldRemaining() {
    const auto field =
        awaitResponse(send("/v1/report"))->Head.Fields.find("Cold-Remaining");
    return std::stoi(std::string(field.value_or("-1")));
  }

  http1::Client Client;
  http1::Endpoint Address;
  std::vector<std::shared_ptr<http1::Call>> PendingCalls;
  int RequestCount = 0;
};

TEST_F(PlatformRunnerTest, queuesRequestsForSlotByPriority) {
  RunnerTraits traits;
  traits.Slots = 1;
  traits.MaxQueueLength = 2;
  traits.ServiceTime = Millis(150);
  PlainRunner runner(Loop, Clock, traits);
  runner.listen(Address);
  const Reply first = send("/x");
  runUntil([&] { return runner.active() == 1; });
  const Reply lowPriority = send("/x", "Request-Priority: 7\r\n");
  runUntil([&] { return runner.queued() == 1; });
  const Reply highPriority = send("/x", "Request-Priority: 1\r\n");
  runUntil([&] { return runner.queued() == 2; });
  EXPECT_EQ(awaitResponse(send("/x"))->Status, 503)
      << "slot and queue are taken";
  awaitResponse(highPriority);
  EXPECT_TRUE(first->isFinished());
  EXPECT_FALSE(lowPriority->isFinished());
  EXPECT_EQ(awaitResponse(lowPriority)->Status, 200);
}

TEST_F(PlatformRunnerTest, doesNotRunQueuedRequestAfterDeadline) {
  RunnerTraits traits;
  traits.Slots = 1;
  traits.MaxQueueLength = 4;
  traits.ServiceTime = Millis(400);
  PlainRunner runner(Loop, Clock, traits);
  runner.listen(Address);
  send("/x");
  runUntil([&] { return runner.active() == 1; });
  const Reply late = awaitResponse(send("/x", "Deadline-Remaining: 50\r\n"));
  EXPECT_EQ(late->Status, 503);
  EXPECT_FALSE(runner.runs().contains("a2"));
}

TEST_F(PlatformRunnerTest, namesItsColdPhase) {
  RunnerTraits traits;
  traits.Cold.Time = Millis(400);
  traits.Cold.PerSecond = 6;
  PlainRunner runner(Loop, Clock, traits);
  runner.listen(Address);
  const auto remaining = [&] {
    return nlohmann::json::parse(runner.entry("available"))
        .at("coldRemainingMs")
        .get<int>();
  };
  EXPECT_GT(remaining(), 0);
  EXPECT_GT(coldRemaining(), 0);
  runUntil([&] { return remaining() == 0; });
  EXPECT_EQ(coldRemaining(), 0);
}

// Guards against a stand-in that survives a load under which real runners
// crash.
TEST_F(PlatformRunnerTest, crashesUnderTooManyRequestsWhileCold) {
  RunnerTraits traits;
  traits.Cold.Time = Millis(20'000);
  traits.Cold.PerSecond = 2;
  traits.Cold.Allowance = 1;
  StreamingRunner runner(Loop, Clock, traits);
  runner.listen(Address);
  for (std::size_t n = 0; n < traits.Cold.bound(); ++n)
    EXPECT_EQ(awaitResponse(send("/x", "Prompt-Prefix: a:1\r\n"))->Status, 200);
  EXPECT_FALSE(runner.hasStopped());
  // None of them is counted any more after a second.
  stall(Millis(1'100));
  for (std::size_t n = 0; n < traits.Cold.bound(); ++n)
    send("/x", "Prompt-Prefix: a:1\r\n");
  runUntil([&] { return runner.active() == traits.Cold.bound(); });
  EXPECT_FALSE(runner.hasStopped());
  const Reply oneMore = awaitResponse(send("/x", "Prompt-Prefix: a:1\r\n"));
  EXPECT_TRUE(oneMore->Failure);
  EXPECT_TRUE(runner.hasStopped());
  runUntil([&] { return runner.active() == 0; });
  EXPECT_EQ(awaitResponse(send("/x"))->Failure,
            http1::CallFailure::NotConnected);
}

TEST_F(PlatformRunnerTest, acceptsAnyLoadAfterItsColdPhase) {
  RunnerTraits traits;
  traits.Cold.Time = Millis(50);
  traits.Cold.PerSecond = 1;
  traits.Cold.Allowance = 1;
  PlainRunner runner(Loop, Clock, traits);
  runner.listen(Address);
  stall(Millis(60));
  for (int n = 0; n < 10; ++n)
    EXPECT_EQ(awaitResponse(send("/x"))->Status, 200);
}

TEST_F(PlatformRunnerTest, reportsItsLoad) {
  RunnerTraits traits;
  traits.Slots = 1;
  traits.MaxQueueLength = 4;
  traits.PrefillMillisPerToken = 100;
  StreamingRunner runner(Loop, Clock, traits);
  runner.listen(Address);
  send("/x", "Prompt-Prefix: a:300,b:100\r\n");
  runUntil([&] { return runner.active() == 1; });
  send("/x", "Prompt-Prefix: a:300,c:50\r\n");
  runUntil([&] { return runner.queued() == 1; });
  const auto load = report();
  EXPECT_EQ(load.at("activeRequests"), 1);
  EXPECT_EQ(load.at("queuedRequests"), 1);
  EXPECT_EQ(load.at("kvCacheUsed"), 400);
  EXPECT_EQ(runner.prefilledTokens(), 400U);
}

TEST_F(PlatformRunnerTest, freesSlotWhenCallerDisconnects) {
  RunnerTraits traits;
  traits.Slots = 1;
  traits.MaxQueueLength = 1;
  traits.ServiceTime = Millis(10'000);
  PlainRunner runner(Loop, Clock, traits);
  runner.listen(Address);
  send("/x");
  runUntil([&] { return runner.active() == 1; });
  PendingCalls.back()->cancel();
  runUntil([&] { return runner.active() == 0; });
}

// Guards against a stand-in that adds an event to a stream that a caller has
// complete: the soak took it for a fault of the gateway.
TEST_F(PlatformRunnerTest, streamResumedAfterItsLastEventHasNothingToAdd) {
  RunnerTraits traits;
  traits.Events = 3;
  StreamingRunner runner(Loop, Clock, traits);
  runner.listen(Address);
  const auto reply = awaitResponse(send("/stream/x", "Last-Event-Id: 3\r\n"));
  EXPECT_EQ(reply->Head.Status, 200);
  EXPECT_EQ(reply->Body, "");
}

} // namespace
