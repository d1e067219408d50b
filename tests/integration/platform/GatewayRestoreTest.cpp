#include "integration/platform/GatewayFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

/// The store comes back as an older copy. Operators and runners write again
/// what they wrote since; the tests do that in their place.
class GatewayRestoreTest : public GatewayTest {
protected:
  bool hasLogged(const std::string &text) const {
    return Gateway->log().find(text) != std::string::npos;
  }
  void awaitLogged(const std::string &text) {
    runUntil([&] { return hasLogged(text); });
  }
  /// Restores the store and waits until the gateway has listed it.
  void restore(const MetadataStore &copy) {
    Store.store().restore(copy);
    awaitLogged("store-restored");
    runUntil([&] { return Store.listedPages() > PagesBefore; });
    runFor(Millis(300));
  }
  void rememberPages() { PagesBefore = Store.listedPages(); }
  void runFor(core::Millis time) {
    const core::Millis end = Clock.monotonic() + time;
    runUntil([&] { return Clock.monotonic() >= end; });
  }
  int statusOf(const std::string &path) { return statusAt(Callers, path); }
  int statusAt(const http1::Endpoint &at, const std::string &path) {
    return awaitResponse(sendRequest(at, request("GET", path)))->Status;
  }
  void order(const std::string &target, int seconds) {
    Store.store().put(
        "op/rollout/llm",
        json{{"service", "llm"}, {"target", target}, {"durationS", seconds}}
            .dump());
  }
  /// Replaces the callers' key and waits until that is in force.
  void replaceKey(int version, const std::string &key) {
    Configuration["version"] = version;
    Configuration["tenants"][0]["apiKeys"] = {key};
    configure();
    Key = key;
    runUntil([&] { return statusOf("/get/a") == 200; });
  }
  std::string rolloutState() {
    const auto item = Store.store().get("status/rollout/llm");
    return item ? json::parse(item->Value).at("state").get<std::string>() : "";
  }
  StreamingRunner &addTargetRunner(const std::string &id) {
    StreamingRunner &runner = addModelRunner(id);
    runner.traits().Version = "v2";
    Store.store().put("servers/" + id, runner.entry("available"));
    return runner;
  }

  using Millis = core::Millis;
  std::size_t PagesBefore = 0;
};

TEST_F(GatewayRestoreTest, keepsNewerConfigurationInForce) {
  addPlainRunner("desk-1");
  configure();
  startAndAwaitReady();
  const MetadataStore copy = Store.store();
  replaceKey(5, "key-2");
  rememberPages();
  restore(copy);
  EXPECT_EQ(statusOf("/get/a"), 200);
  Key = "key-1";
  EXPECT_EQ(statusOf("/get/a"), 401) << "the key was removed before";
}

// Pattern: the store has given out the watched revision again by the time of
// the next watch, so that the watch alone would miss a change.
TEST_F(GatewayRestoreTest, receivesChangesThatReuseWatchedRevisions) {
  addPlainRunner("desk-1");
  configure();
  startAndAwaitReady();
  const MetadataStore copy = Store.store();
  for (int n = 0; n < 5; ++n)
    Store.store().put("cowslipridge/unused", std::to_string(n));
  runFor(Millis(300));
  Store.setFaults({.Unavailable = true,
                   .Unresponsive = false,
                   .LoseWriteReplies = false,
                   .Delay = {}});
  awaitLogged("store-unavailable");
  Store.store().restore(copy);
  Configuration["version"] = 7;
  Configuration["tenants"][0]["apiKeys"] = {"key-7"};
  configure();
  for (int n = 0; n < 10; ++n)
    Store.store().put("cowslipridge/unused", std::to_string(n));
  Store.setFaults({});
  Key = "key-7";
  runUntil([&] { return statusOf("/get/a") == 200; });
}

// Pattern: the id of the gateway's lease is given to another gateway, so that
// its renewals would go on to succeed.
TEST_F(GatewayRestoreTest, registersAgainAlthoughItsLeaseIdIsInUse) {
  addPlainRunner("desk-1");
  configure();
  const MetadataStore copy = Store.store();
  startAndAwaitReady();
  const auto isRegistered = [&] {
    return Store.store().get("cowslipridge/peers/gateway-1").has_value();
  };
  runUntil(isRegistered);
  Store.store().restore(copy);
  for (int n = 0; n < 20; ++n)
    Store.store().grantLease(Millis(60'000), Clock.monotonic());
  const Millis restoredAt = Clock.monotonic();
  runUntil(isRegistered);
  EXPECT_LT(Clock.monotonic() - restoredAt, Millis(2'000));
}

TEST_F(GatewayRestoreTest, usesRunnerUntilItHadTimeToRegisterAgain) {
  configure();
  startAndAwaitReady();
  const MetadataStore copy = Store.store();
  PlainRunner &runner = addPlainRunner("desk-1");
  runUntil([&] { return statusOf("/get/a") == 200; });
  rememberPages();
  restore(copy);
  EXPECT_EQ(statusOf("/get/a"), 200);
  Store.store().put("servers/desk-1", runner.entry("available"));
  runFor(Millis(2'500));
  EXPECT_EQ(statusOf("/get/a"), 200);
}

TEST_F(GatewayRestoreTest, drainedRunnersStayOut) {
  PlainRunner &drained = addPlainRunner("desk-1");
  PlainRunner &left = addPlainRunner("desk-2");
  addPlainRunner("desk-3");
  configure();
  startAndAwaitReady();
  const MetadataStore copy = Store.store();
  Store.store().put("servers/desk-1", drained.entry("draining"));
  Store.store().put("servers/desk-2", left.entry("draining"));
  Store.store().remove("servers/desk-2");
  awaitLogged("runner-removed");
  rememberPages();
  restore(copy);
  const std::size_t before = drained.runs().size() + left.runs().size();
  for (int n = 0; n < 40; ++n)
    EXPECT_EQ(statusOf("/get/a"), 200);
  EXPECT_EQ(drained.runs().size() + left.runs().size(), before);
}

TEST_F(GatewayRestoreTest, writesLostRecordOfRolloutAgain) {
  addModelRunner("llm-1");
  configure();
  startAndAwaitReady();
  addTargetRunner("llm-2");
  order("v2", 5);
  const MetadataStore copy = Store.store();
  runUntil([&] { return rolloutState() == "completed"; });
  awaitLogged("state=completed");
  rememberPages();
  restore(copy);
  runUntil([&] { return rolloutState() == "completed"; });
  const auto stream = awaitResponse(sendRequest(Callers, streamRequest()));
  EXPECT_EQ(stream->Status, 200);
  EXPECT_EQ(Runners[0]->runs().count(lastRequestId()), 0U)
      << "sessions do not return to the version that was replaced";
}

TEST_F(GatewayRestoreTest, rolloutGoesOnAlthoughItsCommandIsMissing) {
  addModelRunner("llm-1");
  configure();
  startAndAwaitReady();
  addTargetRunner("llm-2");
  const MetadataStore copy = Store.store();
  order("v2", 8);
  runUntil([&] { return rolloutState() == "in_progress"; });
  awaitLogged("state=in progress");
  rememberPages();
  restore(copy);
  EXPECT_FALSE(Store.store().get("op/rollout/llm"));
  runUntil([&] { return rolloutState() == "in_progress"; });
  order("v2", 8);
  runUntil([&] { return rolloutState() == "completed"; });
}

// Pattern: a gateway starts from the old copy, before the operator has written
// its configuration again.
TEST_F(GatewayRestoreTest, freshGatewayTakesNewerConfigurationFromPeer) {
  addPlainRunner("desk-1");
  configure();
  startAndAwaitReady();
  const MetadataStore copy = Store.store();
  replaceKey(5, "key-2");
  rememberPages();
  restore(copy);
  const Addresses at = freeAddresses();
  std::optional<Process> fresh;
  start(fresh, "gateway-2", at);
  awaitReady(at.Readiness);
  runUntil([&] { return statusAt(at.Callers, "/get/a") == 200; });
  EXPECT_NE(fresh->log().find("peer-snapshot-taken"), std::string::npos);
}

TEST_F(GatewayRestoreTest, survivesSeveralRestoresInARow) {
  addPlainRunner("desk-1");
  configure();
  startAndAwaitReady();
  const MetadataStore first = Store.store();
  Configuration["version"] = 5;
  configure();
  const MetadataStore second = Store.store();
  replaceKey(9, "key-9");
  Store.store().restore(second);
  runFor(Millis(100));
  Store.store().restore(first);
  runFor(Millis(100));
  Store.store().restore(second);
  rememberPages();
  runUntil([&] { return Store.listedPages() > PagesBefore; });
  EXPECT_EQ(statusOf("/get/a"), 200);
  // The gateway follows the store afterwards.
  replaceKey(12, "key-12");
}

} // namespace
