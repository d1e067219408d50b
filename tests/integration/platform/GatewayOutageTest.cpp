#include "integration/platform/GatewayFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

TEST_F(GatewayTest, servesOnWhileTheStoreIsAwayAndItsEntriesLapse) {
  addDesk("desk-1");
  configure();
  startAndAwaitReady();
  Store.setFaults(
      {.Busy = true, .Silent = false, .LoseWrites = false, .Delay = {}});
  runUntil([&] {
    return Gateway->log().find("store-unavailable") != std::string::npos;
  });
  Store.store().remove("servers/desk-1");
  Store.setFaults({});
  runUntil([&] {
    return Gateway->log().find("store-available") != std::string::npos;
  });
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 200);
  Store.store().put("servers/desk-1", Runners[0]->entry("available"));
  EXPECT_EQ(finish(begin(Front, request("GET", "/get/a")))->Status, 200);
}

TEST_F(GatewayTest, missedHistoryIsMadeGoodByAListing) {
  addDesk("desk-1");
  configure();
  startAndAwaitReady();
  Store.setFaults(
      {.Busy = true, .Silent = false, .LoseWrites = false, .Delay = {}});
  runUntil([&] {
    return Gateway->log().find("store-unavailable") != std::string::npos;
  });
  Configuration["version"] = 9;
  Configuration["tenants"][0]["apiKeys"] = {"key-9"};
  configure();
  Store.store().dropHistory();
  Store.setFaults({});
  Key = "key-9";
  int status = 0;
  while (status != 200)
    status = finish(begin(Front, request("GET", "/get/a")))->Status;
}

TEST_F(GatewayTest, aRolloutIsCompletedAlthoughAnswersOfTheStoreAreLost) {
  addModelRunner("llm-1");
  configure();
  startAndAwaitReady();
  StreamingRunner &target = addModelRunner("llm-2");
  target.traits().Version = "v2";
  Store.store().put("servers/llm-2", target.entry("available"));
  Store.setFaults(
      {.Busy = false, .Silent = false, .LoseWrites = true, .Delay = {}});
  Store.store().put(
      "op/rollout/llm",
      json{{"service", "llm"}, {"target", "v2"}, {"durationS", 5}}.dump());
  const auto verdict = [&] {
    const auto item = Store.store().get("status/rollout/llm");
    return item ? json::parse(item->Value).at("state").get<std::string>() : "";
  };
  runUntil([&] { return verdict() == "in_progress"; });
  Store.setFaults({});
  runUntil([&] { return verdict() == "completed"; });
  finish(begin(Front, streamRequest()));
  EXPECT_EQ(target.runs().count(lastId()), 1U);
}

// Pattern: a gateway is killed in an outage of the store.
TEST_F(GatewayTest, oneThatStartsWhileTheStoreIsAwayLearnsFromAPeer) {
  addDesk("desk-1");
  configure();
  startAndAwaitReady();
  const Addresses at = freeAddresses();
  std::optional<Process> other;
  start(other, "gateway-2", at);
  awaitReady(at.Ready);
  runUntil([&] {
    return Gateway->log().find("peer=gateway-2") != std::string::npos;
  });
  StoreFaults faults;
  faults.Silent = true;
  Store.setFaults(faults);
  other->kill();
  start(other, "gateway-2", at);
  awaitReady(at.Ready);
  EXPECT_NE(other->log().find("peer-snapshot-taken"), std::string::npos);
  EXPECT_EQ(finish(begin(at.Front, request("GET", "/get/a")))->Status, 200);
  // Once the store is back, it tells what has changed since.
  Configuration["routes"].erase(2);
  Configuration["version"] = 2;
  configure();
  Store.setFaults({});
  int status = 0;
  while (status != 404)
    status = finish(begin(at.Front, request("GET", "/get/a")))->Status;
}

} // namespace
