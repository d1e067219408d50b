#include "integration/platform/GatewayFixture.hpp"

#include <algorithm>
#include <string>

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

constexpr const char *CrashingSegment = "dead";
constexpr const char *RecordPrefix = "cowslipridge/quarantine/";
constexpr int RunnerCount = 4;

/// Runners that crash on some requests, and a gateway in front of them.
class CrashingRunnersTest : public GatewayTest {
protected:
  std::shared_ptr<CallRecorder> send(const std::string &bytes) {
    return awaitResponse(sendRequest(Callers, bytes));
  }
  bool hasLogged(const std::string &text) const {
    return Gateway->log().find(text) != std::string::npos;
  }
  void runFor(core::Millis time) {
    const core::Millis end = Clock.monotonic() + time;
    runUntil([&] { return Clock.monotonic() >= end; });
  }
  /// Returns whether the store has a record whose key contains the text.
  bool hasRecordWith(const std::string &text) {
    const auto records = Store.store().list(RecordPrefix, "");
    return std::any_of(records.begin(), records.end(), [&](const auto &it) {
      return it.Key.find(text) != std::string::npos;
    });
  }
  void expectRejected(const std::string &bytes) {
    const auto response = send(bytes);
    EXPECT_EQ(response->Status, 503);
    EXPECT_EQ(runsOfLastRequest(), 0);
    const auto retryAfter = response->Head.Fields.find("Retry-After");
    ASSERT_TRUE(retryAfter);
    EXPECT_GT(std::stod(std::string(*retryAfter)), 500);
  }
};

/// Runners crash when they answer prompts with one segment.
class GatewayQuarantineTest : public CrashingRunnersTest {
protected:
  GatewayQuarantineTest() {
    for (int n = 0; n < RunnerCount; ++n)
      addModelRunner("llm-" + std::to_string(n)).traits().CrashingSegment =
          CrashingSegment;
    configure();
  }

  std::string crashingRequest() {
    return request("GET", "/stream/x",
                   "Model-Name: *\r\nToken-Usage: 100,50\r\n"
                   "Prompt-Prefix: a1:80,dead:20,c" +
                       std::to_string(RequestCount) + ":20\r\n");
  }
  /// Sends requests that crash runners until the gateway reacts.
  void crashUntilQuarantined() {
    const core::Millis end = Clock.monotonic() + core::Millis(10'000);
    while (!hasLogged("segment-quarantined")) {
      ASSERT_LT(Clock.monotonic(), end);
      send(crashingRequest());
      EXPECT_EQ(send(streamRequest())->Body, completeStream(5));
      runFor(core::Millis(160));
    }
  }
  bool hasRecord() { return hasRecordWith(CrashingSegment); }
  void expectRejected() {
    CrashingRunnersTest::expectRejected(crashingRequest());
  }
};

/// Runners crash when they run one plain request.
class GatewayRepeatedRequestTest : public CrashingRunnersTest {
protected:
  GatewayRepeatedRequestTest() {
    for (int n = 0; n < RunnerCount; ++n) {
      RunnerTraits &traits =
          addPlainRunner("desk-" + std::to_string(n)).traits();
      traits.CrashingTarget = "/get/crash";
      traits.ServiceTime = core::Millis(10);
    }
    configure();
  }

  std::string crashingRequest() { return request("GET", "/get/crash"); }
  /// Sends the request until it has crashed three runners or more, and lets the
  /// gateway react.
  void crashRunners() {
    int runs = 0;
    while (runs < 3) {
      EXPECT_EQ(send(crashingRequest())->Status, 502);
      runs += runsOfLastRequest();
      EXPECT_EQ(send(request("GET", "/get/x"))->Status, 200);
      runFor(core::Millis(160));
    }
    runFor(core::Millis(1'500));
  }
};

TEST_F(GatewayQuarantineTest, rejectsPromptsThatCrashRunners) {
  startAndAwaitReady();
  crashUntilQuarantined();
  expectRejected();
  EXPECT_EQ(send(streamRequest())->Body, completeStream(5));
}

// Guards against crashes that begin again when all gateways restart.
TEST_F(GatewayQuarantineTest, restartedGatewayRejectsThemAtOnce) {
  startAndAwaitReady();
  crashUntilQuarantined();
  runUntil([&] { return hasRecord(); });
  Gateway->kill();
  startAndAwaitReady();
  expectRejected();
}

// Guards against a quarantine that is lost because the store was away when it
// began.
TEST_F(GatewayQuarantineTest, writesItsRecordOnceTheStoreIsBack) {
  startAndAwaitReady();
  Store.setFaults({.Unavailable = true,
                   .Unresponsive = false,
                   .LoseWriteReplies = false,
                   .Delay = {}});
  crashUntilQuarantined();
  runFor(core::Millis(1'500));
  EXPECT_FALSE(hasRecord());
  Store.setFaults({});
  runUntil([&] { return hasRecord(); });
}

// Guards against a quarantine that is lost with the store's latest changes.
TEST_F(GatewayQuarantineTest, writesItsRecordAgainAfterARestore) {
  startAndAwaitReady();
  const MetadataStore copy = Store.store();
  crashUntilQuarantined();
  runUntil([&] { return hasRecord(); });
  Store.store().restore(copy);
  EXPECT_FALSE(hasRecord());
  runUntil([&] { return hasRecord(); });
  expectRejected();
}

// Guards against one plain request that crashes runner after runner, as it
// comes again with a new id each time.
TEST_F(GatewayRepeatedRequestTest, rejectsARequestThatCrashesRunners) {
  startAndAwaitReady();
  crashRunners();
  expectRejected(crashingRequest());
  EXPECT_EQ(send(request("GET", "/get/x"))->Status, 200);
}

// Guards against crashes that begin again when all gateways restart.
TEST_F(GatewayRepeatedRequestTest, restartedGatewayRejectsItAtOnce) {
  startAndAwaitReady();
  crashRunners();
  runUntil([&] { return hasRecordWith("content-"); });
  Gateway->kill();
  startAndAwaitReady();
  expectRejected(crashingRequest());
}

} // namespace
