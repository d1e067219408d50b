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

  PlatformRunnerTest() : Calls(Loop, Clock, {}) {
    Tcp::acceptor probe(Loop, anyPort());
    At = probe.local_endpoint();
  }

  Reply send(const std::string &path, const std::string &fields = "") {
    auto reply = std::make_shared<CallRecorder>();
    http1::CallSpec spec;
    spec.Server = At;
    spec.Bytes = "GET " + path + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a" +
                 std::to_string(++Ids) + "\r\n" + fields + "\r\n";
    spec.Timeout = Millis(10'000);
    Handles.push_back(Calls.call(std::move(spec), reply));
    return reply;
  }
  Reply finish(Reply reply) {
    runUntil([&] { return reply->isFinished(); });
    return reply;
  }
  nlohmann::json report() {
    return nlohmann::json::parse(finish(send("/v1/report"))->Body);
  }

  http1::Client Calls;
  http1::Endpoint At;
  std::vector<std::shared_ptr<http1::Call>> Handles;
  int Ids = 0;
};

TEST_F(PlatformRunnerTest, requestsWaitForASlotAndTheMostUrgentGoesFirst) {
  RunnerTraits traits;
  traits.Slots = 1;
  traits.QueueLength = 2;
  traits.WorkTime = Millis(150);
  PlainRunner runner(Loop, Clock, traits);
  runner.listen(At);
  const Reply first = send("/x");
  runUntil([&] { return runner.active() == 1; });
  const Reply idle = send("/x", "Request-Priority: 7\r\n");
  runUntil([&] { return runner.queued() == 1; });
  const Reply urgent = send("/x", "Request-Priority: 1\r\n");
  runUntil([&] { return runner.queued() == 2; });
  EXPECT_EQ(finish(send("/x"))->Status, 503) << "slot and queue are taken";
  finish(urgent);
  EXPECT_TRUE(first->isFinished());
  EXPECT_FALSE(idle->isFinished());
  EXPECT_EQ(finish(idle)->Status, 200);
}

TEST_F(PlatformRunnerTest, whatWaitsPastItsDeadlineIsNotRun) {
  RunnerTraits traits;
  traits.Slots = 1;
  traits.QueueLength = 4;
  traits.WorkTime = Millis(400);
  PlainRunner runner(Loop, Clock, traits);
  runner.listen(At);
  send("/x");
  runUntil([&] { return runner.active() == 1; });
  const Reply late = finish(send("/x", "Deadline-Remaining: 50\r\n"));
  EXPECT_EQ(late->Status, 503);
  EXPECT_FALSE(runner.runs().contains("a2"));
}

TEST_F(PlatformRunnerTest, reportsItsLoad) {
  RunnerTraits traits;
  traits.Slots = 1;
  traits.QueueLength = 4;
  traits.PrefillMillisPerToken = 100;
  StreamingRunner runner(Loop, Clock, traits);
  runner.listen(At);
  send("/x", "Prompt-Prefix: a:300,b:100\r\n");
  runUntil([&] { return runner.active() == 1; });
  send("/x", "Prompt-Prefix: a:300,c:50\r\n");
  runUntil([&] { return runner.queued() == 1; });
  const auto load = report();
  EXPECT_EQ(load.at("activeRequests"), 1);
  EXPECT_EQ(load.at("queuedRequests"), 1);
  EXPECT_EQ(load.at("kvCacheUsed"), 400);
  EXPECT_EQ(runner.promptTokensRead(), 400U);
}

TEST_F(PlatformRunnerTest, aCallerThatLeavesFreesItsPlace) {
  RunnerTraits traits;
  traits.Slots = 1;
  traits.QueueLength = 1;
  traits.WorkTime = Millis(10'000);
  PlainRunner runner(Loop, Clock, traits);
  runner.listen(At);
  send("/x");
  runUntil([&] { return runner.active() == 1; });
  Handles.back()->cancel();
  runUntil([&] { return runner.active() == 0; });
}

} // namespace
