#include "integration/platform/GatewayFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

TEST_F(GatewayTest, servesStreamsAndPlainRequests) {
  addModelRunner("llm-1");
  PlainRunner &desk = addDesk("desk-1");
  configure();
  startAndAwaitReady();
  const auto stream = finish(begin(Front, streamRequest()));
  EXPECT_EQ(stream->Status, 200);
  EXPECT_EQ(stream->Body, wholeStream(5));
  const auto post = finish(begin(Front, request("POST", "/post/a")));
  EXPECT_EQ(post->Body, "answer to " + lastId());
  EXPECT_EQ(desk.lastHead().Fields.find("Tenant-Name"), "one");
  EXPECT_EQ(desk.lastHead().Fields.find("Expected-Instance"), "desk-1");
  EXPECT_FALSE(desk.lastHead().Fields.find("Authorization"));
}

TEST_F(GatewayTest, withoutAConfigurationItIsNotReadyAndRefuses) {
  startGateway();
  while (get(Ready, "/v1/readiness")->Status != 503) {
  }
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 503);
  EXPECT_EQ(Gateway->log().find("process-ready"), std::string::npos);
  addDesk("desk-1");
  configure();
  awaitReady();
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 200);
  runUntil([&] {
    return Gateway->log().find("process-ready") != std::string::npos;
  });
}

TEST_F(GatewayTest, keysAndRoutesAreThoseOfTheNewestConfiguration) {
  addDesk("desk-1");
  configure();
  startAndAwaitReady();
  EXPECT_EQ(finish(begin(Front, request("GET", "/none/a")))->Status, 404);
  Key = "key-2";
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 401);
  Configuration["version"] = 5;
  Configuration["tenants"][0]["apiKeys"] = {"key-2"};
  configure();
  int status = 0;
  while (status != 200)
    status = finish(begin(Front, request("GET", "/get/a")))->Status;
  Key = "key-1";
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 401);
}

TEST_F(GatewayTest, entriesThatCannotBeReadAreNamedAndTheOthersHold) {
  addDesk("desk-1");
  Store.store().put("servers/before", "not json");
  configure();
  startAndAwaitReady();
  Store.store().put("servers/after", "{\"service\": 7}");
  for (const char *key : {"key=servers/before", "key=servers/after"})
    runUntil([&] { return Gateway->log().find(key) != std::string::npos; });
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 200);
}

TEST_F(GatewayTest, metricsCountRequestsByOutcome) {
  addDesk("desk-1");
  configure();
  startAndAwaitReady();
  finish(begin(Front, request("GET", "/get/a")));
  finish(begin(Front, request("GET", "/none/a")));
  const std::string text = get(Metrics, "/metrics")->Body;
  for (const char *part :
       {"cowslipridge_requests_total{", "outcome=\"served\"",
        "outcome=\"refused\"", "cowslipridge_store_calls_total{",
        "cowslipridge_request_seconds_bucket{",
        "cowslipridge_configuration_generation{",
        "cowslipridge_attempts_total{", "outcome=\"first\"",
        "cowslipridge_retry_budget_left{", "cowslipridge_queued{",
        "cowslipridge_store_call_seconds_bucket{",
        "cowslipridge_members_usable{"})
    EXPECT_NE(text.find(part), std::string::npos) << part;
}

TEST_F(GatewayTest, anEjectionIsLoggedWithItsReason) {
  addDesk("desk-1").traits().FailsAll = true;
  configure();
  startAndAwaitReady();
  const std::string line = "runner=desk-1 outcome=failed";
  while (Gateway->log().find(line) == std::string::npos)
    finish(begin(Front, request("POST", "/post/a")));
  EXPECT_NE(Gateway->log().find("runner-ejected"), std::string::npos);
}

TEST_F(GatewayTest, aBrokenStreamGoesOnAtAnotherRunner) {
  for (const char *id : {"llm-1", "llm-2", "llm-3"})
    addModelRunner(id).traits().BreaksAfter = 2;
  configure();
  startAndAwaitReady();
  const auto stream = finish(begin(Front, streamRequest()));
  EXPECT_EQ(stream->Body, wholeStream(5));
  EXPECT_TRUE(stream->Ended);
  EXPECT_EQ(runsOfLast(), 3);
}

TEST_F(GatewayTest, aDoubtfulAnswerComesFromTheLargerModel) {
  for (const char *id : {"llm-1", "llm-2"})
    addModelRunner(id).traits().Confidence = 1;
  configure();
  startAndAwaitReady();
  EXPECT_EQ(finish(begin(Front, streamRequest()))->Body, wholeStream(5));
  EXPECT_EQ(runsOfLast(), 2);
}

TEST_F(GatewayTest, anUnsafeRequestThatMayHaveRunIsNotRepeated) {
  addDesk("desk-1").traits().FailsAll = true;
  addDesk("desk-2").traits().FailsAll = true;
  configure();
  startAndAwaitReady();
  const auto post = finish(begin(Front, request("POST", "/post/a")));
  EXPECT_EQ(post->Status, 500);
  EXPECT_EQ(runsOfLast(), 1);
  const auto read = finish(begin(Front, request("GET", "/get/a")));
  EXPECT_EQ(read->Status, 500);
  EXPECT_EQ(runsOfLast(), 2);
}

TEST_F(GatewayTest, aSecondCopyOfAnAnswerReachesNobody) {
  addDesk("desk-1").traits().AnswersTwice = true;
  configure();
  startAndAwaitReady();
  for (int n = 0; n < 20; ++n) {
    const auto post = finish(begin(Front, request("POST", "/post/a")));
    // An answer that was cut is allowed to fail, never to be another's.
    if (post->Status == 200) {
      EXPECT_TRUE(post->Body.starts_with("answer to " + lastId()));
    }
  }
}

TEST_F(GatewayTest, theRunEndsWhenTheCallerLeaves) {
  StreamingRunner &runner = addModelRunner("llm-1");
  runner.traits().Events = 1'000;
  configure();
  startAndAwaitReady();
  const auto stream = begin(Front, streamRequest());
  runUntil([&] { return !stream->Body.empty(); });
  Handle->cancel();
  runUntil([&] { return runner.active() == 0; });
}

TEST_F(GatewayTest, aDrainingRunnerGetsNoMoreRequests) {
  PlainRunner &leaving = addDesk("desk-1");
  addDesk("desk-2");
  configure();
  startAndAwaitReady();
  Store.store().put("servers/desk-1", leaving.entry("draining"));
  bool avoided = false;
  for (int n = 0; n < 500 && !avoided; ++n) {
    const std::size_t before = leaving.runs().size();
    for (int k = 0; k < 8; ++k)
      finish(begin(Front, request("GET", "/get/a")));
    avoided = leaving.runs().size() == before;
  }
  EXPECT_TRUE(avoided);
}

TEST_F(GatewayTest, aTermSignalFinishesStreamsAndEndsTheProcess) {
  StreamingRunner &runner = addModelRunner("llm-1");
  runner.traits().Events = 60;
  configure();
  startAndAwaitReady();
  const auto stream = begin(Front, streamRequest());
  runUntil([&] { return !stream->Body.empty(); });
  Gateway->terminate();
  while (get(Ready, "/v1/readiness")->Status != 503) {
  }
  finish(stream);
  EXPECT_EQ(stream->Body, wholeStream(60));
  runUntil([&] { return !Gateway->running(); });
  EXPECT_EQ(Gateway->waitForExit(std::chrono::milliseconds(1)), 0);
}

} // namespace
