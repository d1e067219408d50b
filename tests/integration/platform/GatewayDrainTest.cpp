#include "integration/platform/GatewayFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

/// A planned stop of the only gateway, whose runner does not respond.
class GatewayDrainTest : public GatewayTest {
protected:
  void stopAndWait(core::Millis time) {
    addPlainRunner("desk-1").traits().Unresponsive = true;
    configure();
    startAndAwaitReady();
    Gateway->terminate();
    wait(time);
  }
  void wait(core::Millis time) {
    const core::Millis end = Clock.monotonic() + time;
    runUntil([&] { return Clock.monotonic() >= end; });
  }
};

// Guards against requests that were passed on and are cut off without an answer
// at the end of the grace period.
TEST_F(GatewayDrainTest, requestInProgressAtTheEndGetsAnAnswer) {
  stopAndWait(core::Millis(2'200));
  const auto post = sendRequest(Callers, request("POST", "/post/a"));
  const auto get = sendRequest(Callers, request("GET", "/get/a"));
  EXPECT_EQ(awaitResponse(post)->Status, 502);
  EXPECT_EQ(awaitResponse(get)->Status, 502);
  EXPECT_TRUE(post->Ended && get->Ended);
}

// Guards against requests that are passed on although the process ends before
// their deadline.
TEST_F(GatewayDrainTest, requestThatCannotEndInTimeIsRejectedAndDoesNotRun) {
  stopAndWait(core::Millis(2'200));
  sendRequest(Callers, request("GET", "/get/a")); // keeps the process up
  wait(core::Millis(1'000));
  const auto post =
      awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
  EXPECT_EQ(post->Status, 503);
  EXPECT_TRUE(post->Head.Fields.find("Retry-After"));
  EXPECT_EQ(runsOfLastRequest(), 0);
}

} // namespace
