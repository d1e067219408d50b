#include "integration/platform/GatewayFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

TEST_F(GatewayTest, relaysStreamsAndPlainRequests) {
  addModelRunner("llm-1");
  PlainRunner &desk = addPlainRunner("desk-1");
  configure();
  startAndAwaitReady();
  const auto stream = awaitResponse(sendRequest(Callers, streamRequest()));
  EXPECT_EQ(stream->Status, 200);
  EXPECT_EQ(stream->Body, completeStream(5));
  const auto post =
      awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
  EXPECT_EQ(post->Body, "answer to " + lastRequestId());
  EXPECT_EQ(desk.lastHead().Fields.find("Tenant-Name"), "one");
  EXPECT_EQ(desk.lastHead().Fields.find("Expected-Instance"), "desk-1");
  EXPECT_FALSE(desk.lastHead().Fields.find("Authorization"));
}

TEST_F(GatewayTest, isNotReadyAndRejectsRequestsWithoutConfiguration) {
  startGateway();
  while (get(Readiness, "/v1/readiness")->Status != 503) {
  }
  EXPECT_EQ(
      awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status,
      503);
  EXPECT_EQ(Gateway->log().find("process-ready"), std::string::npos);
  addPlainRunner("desk-1");
  configure();
  awaitReady();
  EXPECT_EQ(
      awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status,
      200);
  runUntil([&] {
    return Gateway->log().find("process-ready") != std::string::npos;
  });
}

TEST_F(GatewayTest, appliesKeysAndRoutesOfNewestConfiguration) {
  addPlainRunner("desk-1");
  configure();
  startAndAwaitReady();
  EXPECT_EQ(
      awaitResponse(sendRequest(Callers, request("GET", "/none/a")))->Status,
      404);
  Key = "key-2";
  EXPECT_EQ(
      awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status,
      401);
  Configuration["version"] = 5;
  Configuration["tenants"][0]["apiKeys"] = {"key-2"};
  configure();
  int status = 0;
  while (status != 200)
    status =
        awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status;
  Key = "key-1";
  EXPECT_EQ(
      awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status,
      401);
}

TEST_F(GatewayTest, logsMalformedEntriesAndUsesTheOthers) {
  addPlainRunner("desk-1");
  Store.store().put("servers/before", "not json");
  configure();
  startAndAwaitReady();
  Store.store().put("servers/after", "{\"service\": 7}");
  for (const char *key : {"key=servers/before", "key=servers/after"})
    runUntil([&] { return Gateway->log().find(key) != std::string::npos; });
  EXPECT_EQ(
      awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status,
      200);
}

TEST_F(GatewayTest, countsRequestsByOutcomeInMetrics) {
  addPlainRunner("desk-1");
  configure();
  startAndAwaitReady();
  awaitResponse(sendRequest(Callers, request("GET", "/get/a")));
  awaitResponse(sendRequest(Callers, request("GET", "/none/a")));
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

TEST_F(GatewayTest, logsReasonOfEjection) {
  addPlainRunner("desk-1").traits().AlwaysFails = true;
  configure();
  startAndAwaitReady();
  const std::string line = "runner=desk-1 outcome=failed";
  while (Gateway->log().find(line) == std::string::npos)
    awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
  EXPECT_NE(Gateway->log().find("runner-ejected"), std::string::npos);
}

TEST_F(GatewayTest, resumesAbortedStreamAtAnotherRunner) {
  for (const char *id : {"llm-1", "llm-2", "llm-3"})
    addModelRunner(id).traits().AbortsAfterEvents = 2;
  configure();
  startAndAwaitReady();
  const auto stream = awaitResponse(sendRequest(Callers, streamRequest()));
  EXPECT_EQ(stream->Body, completeStream(5));
  EXPECT_TRUE(stream->Ended);
  EXPECT_EQ(runsOfLastRequest(), 3);
}

TEST_F(GatewayTest, escalatesLowConfidenceResponseToLargerModel) {
  for (const char *id : {"llm-1", "llm-2"})
    addModelRunner(id).traits().Confidence = 1;
  configure();
  startAndAwaitReady();
  EXPECT_EQ(awaitResponse(sendRequest(Callers, streamRequest()))->Body,
            completeStream(5));
  EXPECT_EQ(runsOfLastRequest(), 2);
}

TEST_F(GatewayTest, doesNotRetryNonIdempotentRequestThatMayHaveRun) {
  addPlainRunner("desk-1").traits().AlwaysFails = true;
  addPlainRunner("desk-2").traits().AlwaysFails = true;
  configure();
  startAndAwaitReady();
  const auto post =
      awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
  EXPECT_EQ(post->Status, 500);
  EXPECT_EQ(runsOfLastRequest(), 1);
  const auto read =
      awaitResponse(sendRequest(Callers, request("GET", "/get/a")));
  EXPECT_EQ(read->Status, 500);
  EXPECT_EQ(runsOfLastRequest(), 2);
}

TEST_F(GatewayTest, discardsDuplicateResponseOfRunner) {
  addPlainRunner("desk-1").traits().DuplicatesReplies = true;
  configure();
  startAndAwaitReady();
  for (int n = 0; n < 20; ++n) {
    const auto post =
        awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
    // A request whose response was cut off may fail, but must never get the
    // response of another request.
    if (post->Status == 200) {
      EXPECT_TRUE(post->Body.starts_with("answer to " + lastRequestId()));
    }
  }
}

TEST_F(GatewayTest, cancelsRunWhenCallerDisconnects) {
  StreamingRunner &runner = addModelRunner("llm-1");
  runner.traits().Events = 1'000;
  configure();
  startAndAwaitReady();
  const auto stream = sendRequest(Callers, streamRequest());
  runUntil([&] { return !stream->Body.empty(); });
  LastCall->cancel();
  runUntil([&] { return runner.active() == 0; });
}

TEST_F(GatewayTest, sendsNoRequestsToDrainingRunner) {
  PlainRunner &draining = addPlainRunner("desk-1");
  addPlainRunner("desk-2");
  configure();
  startAndAwaitReady();
  Store.store().put("servers/desk-1", draining.entry("draining"));
  bool avoided = false;
  for (int n = 0; n < 500 && !avoided; ++n) {
    const std::size_t before = draining.runs().size();
    for (int k = 0; k < 8; ++k)
      awaitResponse(sendRequest(Callers, request("GET", "/get/a")));
    avoided = draining.runs().size() == before;
  }
  EXPECT_TRUE(avoided);
}

// The store's entry still says that the runner is available.
TEST_F(GatewayTest, sendsNoRequestsToRunnerThatAnnouncedItsShutdown) {
  PlainRunner &leaving = addPlainRunner("desk-1");
  PlainRunner &other = addPlainRunner("desk-2");
  leaving.traits().Leaving = true;
  configure();
  startAndAwaitReady();
  while (leaving.runs().empty())
    awaitResponse(sendRequest(Callers, request("GET", "/get/a")));
  const std::size_t served = other.runs().size();
  for (int n = 0; n < 40; ++n) {
    Store.store().put("servers/desk-1", leaving.entry("available"));
    EXPECT_EQ(
        awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status,
        200);
  }
  EXPECT_EQ(leaving.runs().size(), 1U);
  EXPECT_EQ(other.runs().size(), served + 40);
  runUntil([&] {
    return Gateway->log().find("runner-leaving") != std::string::npos;
  });
}

TEST_F(GatewayTest, keepsToTheRateLimitOfARunnerWhileItNamesOne) {
  constexpr int Concurrent = 4; // more than one runner is preferred for
  PlainRunner &limited = addPlainRunner("desk-1");
  PlainRunner &other = addPlainRunner("desk-2");
  limited.traits().ServiceTime = other.traits().ServiceTime = core::Millis(20);
  limited.traits().RateLimit = 2;
  configure();
  startAndAwaitReady();
  const auto runsWithin = [&](core::Millis time) {
    const std::size_t before = limited.runs().size();
    const core::Millis end = Clock.monotonic() + time;
    while (Clock.monotonic() < end) {
      std::vector<std::shared_ptr<CallRecorder>> responses;
      responses.reserve(Concurrent);
      for (int n = 0; n < Concurrent; ++n)
        responses.push_back(sendRequest(Callers, request("GET", "/get/a")));
      for (const auto &it : responses)
        EXPECT_EQ(awaitResponse(it)->Status, 200);
    }
    return limited.runs().size() - before;
  };
  runsWithin(core::Millis(500));
  EXPECT_LE(runsWithin(core::Millis(2'000)), 5U);
  limited.traits().RateLimit.reset();
  runsWithin(core::Millis(1'500));
  EXPECT_GT(runsWithin(core::Millis(1'000)), 5U);
}

TEST_F(GatewayTest, rejectsCallersAtOnceWhileTheOnlyRunnerAskedForABackoff) {
  PlainRunner &runner = addPlainRunner("desk-1");
  runner.traits().Slots = 0;
  runner.traits().RejectionBackoff = core::Millis(1'500);
  configure();
  startAndAwaitReady();
  const auto first =
      awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
  EXPECT_EQ(first->Status, 503);
  const std::string seen = runner.lastHead().Target;
  runner.traits().Slots = 8;
  const auto second =
      awaitResponse(sendRequest(Callers, request("POST", "/post/b")));
  EXPECT_EQ(second->Status, 503);
  EXPECT_EQ(runner.lastHead().Target, seen) << "no request reached the runner";
  const double seconds =
      std::stod(std::string(second->Head.Fields.find("Retry-After").value()));
  EXPECT_GT(seconds, 0.15);
  EXPECT_LE(seconds, 1.5);
  int status = 503;
  while (status == 503)
    status =
        awaitResponse(sendRequest(Callers, request("POST", "/post/c")))->Status;
  EXPECT_EQ(status, 200);
}

TEST_F(GatewayTest, finishesStreamsAndExitsAfterTermSignal) {
  StreamingRunner &runner = addModelRunner("llm-1");
  runner.traits().Events = 60;
  configure();
  startAndAwaitReady();
  const auto stream = sendRequest(Callers, streamRequest());
  runUntil([&] { return !stream->Body.empty(); });
  Gateway->terminate();
  while (get(Readiness, "/v1/readiness")->Status != 503) {
  }
  awaitResponse(stream);
  EXPECT_EQ(stream->Body, completeStream(60));
  runUntil([&] { return !Gateway->running(); });
  EXPECT_EQ(Gateway->waitForExit(std::chrono::milliseconds(1)), 0);
}

// Guards against runners that are handed more time than the caller has, as the
// time in which the body arrived is not taken off.
TEST_F(GatewayTest, timeInWhichABodyArrivesCountsToTheDeadline) {
  constexpr core::Millis Arrival{700};
  constexpr int Allowed = 500; // ms over what the caller has left
  PlainRunner &runner = addPlainRunner("desk-1");
  configure();
  startAndAwaitReady();
  Tcp::socket caller(Loop);
  caller.connect(Callers);
  const std::string head = request("POST", "/post/a", "Content-Length: 2\r\n");
  boost::asio::write(caller, boost::asio::buffer(head + "a"));
  const core::Millis sentAt = Clock.monotonic();
  stall(Arrival);
  boost::asio::write(caller, boost::asio::buffer(std::string("b")));
  runUntil([&] { return runsOfLastRequest() == 1; });
  const auto elapsed = (Clock.monotonic() - sentAt).count();
  const int handedOn = std::stoi(
      std::string(*runner.lastHead().Fields.find("Deadline-Remaining")));
  EXPECT_LT(handedOn, 3'500 - elapsed + Allowed);
}

} // namespace
