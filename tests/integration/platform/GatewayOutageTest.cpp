#include "integration/platform/GatewayFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

TEST_F(GatewayTest, servesWhenEntryIsRemovedDuringStoreOutage) {
  addPlainRunner("desk-1");
  configure();
  startAndAwaitReady();
  Store.setFaults({.Unavailable = true,
                   .Unresponsive = false,
                   .LoseWriteReplies = false,
                   .Delay = {}});
  runUntil([&] {
    return Gateway->log().find("store-unavailable") != std::string::npos;
  });
  Store.store().remove("servers/desk-1");
  Store.setFaults({});
  runUntil([&] {
    return Gateway->log().find("store-available") != std::string::npos;
  });
  EXPECT_EQ(
      awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status,
      200);
  Store.store().put("servers/desk-1", Runners[0]->entry("available"));
  EXPECT_EQ(
      awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status,
      200);
}

// Guards against requests to a removed runner after drainMs (2 s), because a
// cut watch was taken for an outage in which entries may have expired.
TEST_F(GatewayTest, removedRunnerGetsNoRequestsAfterItsWatchWasCut) {
  PlainRunner &leaving = addPlainRunner("desk-1");
  addPlainRunner("desk-2");
  configure();
  startAndAwaitReady();
  runUntil([&] { return Store.cutWatches() == 1; });
  Store.store().remove("servers/desk-1");
  const core::Millis drained = Clock.monotonic() + core::Millis(2'000);
  runUntil([&] { return Clock.monotonic() > drained; });
  const std::size_t runsBefore = leaving.runs().size();
  for (int n = 0; n < 10; ++n)
    awaitResponse(sendRequest(Callers, request("POST", "/post/a")));
  EXPECT_EQ(leaving.runs().size(), runsBefore);
}

// Each cut used to defer the removal anew.
TEST_F(GatewayTest, repeatedCutsOfTheWatchDoNotDelayRemovals) {
  addPlainRunner("desk-1");
  addPlainRunner("desk-2");
  configure();
  startAndAwaitReady();
  runUntil([&] { return Store.cutWatches() == 1; });
  Store.store().remove("servers/desk-1");
  const core::Millis end = Clock.monotonic() + core::Millis(2'000);
  runUntil([&] {
    Store.cutWatches();
    return Clock.monotonic() > end;
  });
  EXPECT_NE(Gateway->log().find("runner-removed"), std::string::npos);
}

// Callers retry while the first listing of the store is on its way.
TEST_F(GatewayTest, holdsRequestsUntilItsFirstListingIsComplete) {
  addPlainRunner("desk-1");
  configure();
  Store.setFaults({.Unavailable = false,
                   .Unresponsive = false,
                   .LoseWriteReplies = false,
                   .Delay = core::Millis(120)});
  startGateway();
  const auto sendUntilConnected = [&] {
    auto response =
        awaitResponse(sendRequest(Callers, request("GET", "/get/a")));
    while (response->Failure == http1::CallFailure::NotConnected)
      response = awaitResponse(sendRequest(Callers, request("GET", "/get/a")));
    return response;
  };
  EXPECT_EQ(sendUntilConnected()->Status, 200);
  EXPECT_EQ(Gateway->log().find("no configuration yet"), std::string::npos);
}

TEST_F(GatewayTest, rejectsRequestsWhileTheStoreDoesNotAnswerFirstCalls) {
  addPlainRunner("desk-1");
  configure();
  Store.setFaults({.Unavailable = false,
                   .Unresponsive = true,
                   .LoseWriteReplies = false,
                   .Delay = {}});
  startGateway();
  auto response = awaitResponse(sendRequest(Callers, request("GET", "/get/a")));
  while (response->Failure == http1::CallFailure::NotConnected)
    response = awaitResponse(sendRequest(Callers, request("GET", "/get/a")));
  EXPECT_EQ(response->Status, 503);
  EXPECT_TRUE(response->Head.Fields.find("Retry-After"));
  const core::Millis before = Clock.monotonic();
  EXPECT_EQ(
      awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status,
      503);
  EXPECT_LT(Clock.monotonic() - before, core::Millis(250))
      << "rejected at once, not held";
}

TEST_F(GatewayTest, listsAgainWhenMissedChangesAreCompacted) {
  addPlainRunner("desk-1");
  configure();
  startAndAwaitReady();
  Store.setFaults({.Unavailable = true,
                   .Unresponsive = false,
                   .LoseWriteReplies = false,
                   .Delay = {}});
  runUntil([&] {
    return Gateway->log().find("store-unavailable") != std::string::npos;
  });
  Configuration["version"] = 9;
  Configuration["tenants"][0]["apiKeys"] = {"key-9"};
  configure();
  Store.store().compactHistory();
  Store.setFaults({});
  Key = "key-9";
  int status = 0;
  while (status != 200)
    status =
        awaitResponse(sendRequest(Callers, request("GET", "/get/a")))->Status;
}

TEST_F(GatewayTest, completesRolloutAlthoughStoreResponsesAreLost) {
  addModelRunner("llm-1");
  configure();
  startAndAwaitReady();
  StreamingRunner &target = addModelRunner("llm-2");
  target.traits().Version = "v2";
  Store.store().put("servers/llm-2", target.entry("available"));
  Store.setFaults({.Unavailable = false,
                   .Unresponsive = false,
                   .LoseWriteReplies = true,
                   .Delay = {}});
  Store.store().put(
      "op/rollout/llm",
      json{{"service", "llm"}, {"target", "v2"}, {"durationS", 5}}.dump());
  const auto state = [&] {
    const auto item = Store.store().get("status/rollout/llm");
    return item ? json::parse(item->Value).at("state").get<std::string>() : "";
  };
  runUntil([&] { return state() == "in_progress"; });
  Store.setFaults({});
  runUntil([&] { return state() == "completed"; });
  awaitResponse(sendRequest(Callers, streamRequest()));
  EXPECT_EQ(target.runs().count(lastRequestId()), 1U);
}

// Guards against a gateway that can't serve after it is killed and restarted
// during an outage of the store.
TEST_F(GatewayTest, startsWithSnapshotOfPeerDuringStoreOutage) {
  addPlainRunner("desk-1");
  configure();
  startAndAwaitReady();
  const Addresses at = freeAddresses();
  std::optional<Process> other;
  start(other, "gateway-2", at);
  awaitReady(at.Readiness);
  runUntil([&] {
    return Gateway->log().find("peer=gateway-2") != std::string::npos;
  });
  StoreFaults faults;
  faults.Unresponsive = true;
  Store.setFaults(faults);
  other->kill();
  start(other, "gateway-2", at);
  awaitReady(at.Readiness);
  EXPECT_NE(other->log().find("peer-snapshot-taken"), std::string::npos);
  EXPECT_EQ(
      awaitResponse(sendRequest(at.Callers, request("GET", "/get/a")))->Status,
      200);
  // Once the store is available again, the gateway receives later changes.
  Configuration["routes"].erase(2);
  Configuration["version"] = 2;
  configure();
  Store.setFaults({});
  int status = 0;
  while (status != 404)
    status = awaitResponse(sendRequest(at.Callers, request("GET", "/get/a")))
                 ->Status;
}

} // namespace
