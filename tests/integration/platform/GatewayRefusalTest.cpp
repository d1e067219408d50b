#include "integration/platform/GatewayFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

class GatewayRefusalTest : public GatewayTest {
protected:
  static constexpr int Statuses = 4; // 421, 503, 429, 408, in turn

  /// Adds runners of which each refuses its requests as the deviation says.
  void addRefusingRunners(Deviation deviation) {
    for (const char *id : {"desk-1", "desk-2", "desk-3"})
      addPlainRunner(id).traits().Deviates = deviation;
    Configuration["routes"][1]["maxAttempts"] = 2;
    configure();
    startAndAwaitReady();
  }
};

// Guards against unsafe requests that run twice, or that their caller sends
// again, as a runner ran them and refused them without stating that it didn't.
TEST_F(GatewayRefusalTest, unsafeRequestRefusedWithoutAStatementRunsOnce) {
  addRefusingRunners(Deviation::UnstatedRefusal);
  for (int n = 0; n < 2 * Statuses; ++n) {
    const auto reply =
        awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
    EXPECT_EQ(reply->Status, 502);
    EXPECT_EQ(runsOfLastRequest(), 1);
  }
}

// Guards against requests that run on more runners than their route allows.
TEST_F(GatewayRefusalTest, safeRequestRefusedWithoutAStatementUsesAnAttempt) {
  addRefusingRunners(Deviation::UnstatedRefusal);
  for (int n = 0; n < 2 * Statuses; ++n) {
    awaitResponse(sendRequest(Callers, request("GET", "/get/a")));
    EXPECT_EQ(runsOfLastRequest(), 2);
  }
}

// Guards against callers that are told that a request did not run although it
// did.
TEST_F(GatewayRefusalTest, refusalWithoutAStatementIsNoPromiseToItsCaller) {
  addRefusingRunners(Deviation::UnstatedRefusal);
  for (int n = 0; n < 2 * Statuses; ++n)
    EXPECT_EQ(
        awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status,
        502);
}

TEST_F(GatewayRefusalTest, statedRefusalOfAnUnsafeRequestMeansNotRun) {
  addRefusingRunners(Deviation::StatedRefusal);
  for (int n = 0; n < 2 * Statuses; ++n) {
    const auto reply =
        awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
    EXPECT_EQ(reply->Status, 503);
    EXPECT_EQ(runsOfLastRequest(), 0);
  }
}

/// Runners that send the copy of a refusal ahead of the next response.
class GatewayCopiedRefusalTest : public GatewayTest {
protected:
  PlainRunner &addCopyingRunner(const std::string &id) {
    PlainRunner &runner = addPlainRunner(id);
    runner.traits().CopiesRefusals = true;
    runner.traits().ServiceTime = core::Millis(20);
    return runner;
  }

  void expectRunsAsAnswered(int status) {
    const int runs = runsOfLastRequest();
    EXPECT_LE(runs, 1);
    EXPECT_TRUE(status != 503 || runs == 0) << "refused and run";
    EXPECT_TRUE(status != 200 || runs == 1) << "answered and not run";
  }
};

// Guards against unsafe requests that run twice: a process has taken over the
// address of another, so that a request returns to it under its new id, where
// the copy of its refusal under the old id was taken for another refusal.
TEST_F(GatewayCopiedRefusalTest, requestReturnsToTheAddressThatRefusedIt) {
  constexpr int Requests = 40;
  addCopyingRunner("desk-2");
  Store.store().put("servers/desk-1", Runners.front()->entry("available"));
  addCopyingRunner("desk-3");
  Configuration["routes"][1]["maxAttempts"] = 3;
  configure();
  startAndAwaitReady();
  for (int n = 0; n < Requests; ++n)
    expectRunsAsAnswered(
        awaitResponse(sendRequest(Callers, request("POST", "/post/a")))
            ->Status);
}

// Guards against callers that are told that a request did not run although it
// did, as they sent it again with its id.
TEST_F(GatewayCopiedRefusalTest, callerRepeatsTheIdOfARefusedRequest) {
  PlainRunner &runner = addCopyingRunner("desk-1");
  runner.traits().Deviates = Deviation::StatedRefusal;
  runner.traits().DeviatesEvery = 2;
  configure();
  startAndAwaitReady();
  awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
  const std::string repeated = request("POST", "/post/a");
  EXPECT_EQ(awaitResponse(sendRequest(Callers, repeated))->Status, 503);
  EXPECT_EQ(runsOfLastRequest(), 0);
  EXPECT_EQ(awaitResponse(sendRequest(Callers, repeated))->Status, 200);
  EXPECT_EQ(runsOfLastRequest(), 1);
}

} // namespace
