#include "integration/platform/GatewayFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::integration;

namespace {

using core::Millis;

/// Time after which no request reaches a domain under evacuation.
constexpr Millis EvacuationBound{5'000};
constexpr std::size_t BatchSize = 6;

/// One plain runner in each of two failure domains. Operators evacuate the one
/// of the gateway itself, which it prefers.
class GatewayEvacuationTest : public GatewayTest {
protected:
  void SetUp() override {
    addPlainRunner("desk-1").traits().Domain = "zone-2";
    addPlainRunner("desk-2");
    Store.store().put("servers/desk-1", Runners[0]->entry("available"));
    for (const auto &it : Runners)
      it->traits().ServiceTime = Millis(10);
    configure();
    startAndAwaitReady();
  }

  void evacuate(const std::string &domain) {
    Store.store().put("op/evacuate/" + domain, "{}");
  }
  void withdraw(const std::string &domain) {
    Store.store().remove("op/evacuate/" + domain);
  }
  void awaitLogged(const std::string &text) {
    runUntil([&] { return Gateway->log().find(text) != std::string::npos; });
  }
  int statusAt(const http1::Endpoint &at) {
    return awaitResponse(sendRequest(at, request("GET", "/get/a")))->Status;
  }
  /// Sends requests that take both runners, and waits for all responses.
  void sendBatch(const http1::Endpoint &at) {
    std::vector<std::shared_ptr<CallRecorder>> sent;
    std::vector<std::shared_ptr<http1::Call>> calls;
    for (std::size_t n = 0; n < BatchSize; ++n) {
      sent.push_back(sendRequest(at, request("GET", "/get/a")));
      calls.push_back(LastCall);
    }
    for (const auto &it : sent)
      EXPECT_EQ(awaitResponse(it)->Status, 200);
  }
  /// Sends requests for a time and returns how many ran in the gateway's
  /// domain. All are served.
  std::size_t load(const http1::Endpoint &at, Millis time) {
    const std::size_t before = Runners[1]->runs().size();
    const Millis end = Clock.monotonic() + time;
    while (Clock.monotonic() < end)
      sendBatch(at);
    return Runners[1]->runs().size() - before;
  }
  /// Evacuates the gateway's domain and waits until nothing reaches it.
  void evacuateAndAwait() {
    EXPECT_GT(load(Callers, Millis(100)), 0U);
    const Millis since = Clock.monotonic();
    evacuate("zone-1");
    awaitLogged("evacuation-ordered");
    EXPECT_LT(Clock.monotonic() - since, EvacuationBound);
    EXPECT_EQ(load(Callers, Millis(300)), 0U);
  }
};

TEST_F(GatewayEvacuationTest, runnersGetNothingUntilTheCommandIsWithdrawn) {
  EXPECT_GT(load(Callers, Millis(300)), 0U);
  evacuateAndAwait();
  EXPECT_EQ(load(Callers, Millis(1'500)), 0U);
  withdraw("zone-1");
  const Millis since = Clock.monotonic();
  runUntil([&] { return load(Callers, Millis(50)) > 0; });
  EXPECT_LT(Clock.monotonic() - since, EvacuationBound);
  // Given again at once.
  evacuate("zone-1");
  withdraw("zone-1");
  evacuate("zone-1");
  runUntil([&] { return load(Callers, Millis(50)) == 0; });
  EXPECT_EQ(load(Callers, Millis(500)), 0U);
}

// Guards against requests to the domain when the command can't be read.
TEST_F(GatewayEvacuationTest, theCommandHoldsThroughAnOutageOfTheStore) {
  evacuateAndAwait();
  StoreFaults faults;
  faults.Unavailable = true;
  Store.setFaults(faults);
  awaitLogged("store-unavailable");
  EXPECT_EQ(load(Callers, Millis(1'000)), 0U);
  Store.store().compactHistory();
  Store.setFaults({});
  awaitLogged("store-available");
  EXPECT_EQ(load(Callers, Millis(1'500)), 0U);
}

// Guards against requests to the domain because an older copy of the store
// lacks the command.
TEST_F(GatewayEvacuationTest, theCommandHoldsThroughARestore) {
  const MetadataStore copy = Store.store();
  evacuateAndAwait();
  Store.store().restore(copy);
  Store.store().put("servers/desk-1", Runners[0]->entry("available"));
  Store.store().put("servers/desk-2", Runners[1]->entry("available"));
  awaitLogged("store-restored");
  EXPECT_EQ(load(Callers, Millis(4'000)), 0U);
  evacuate("zone-1"); // the operator writes it again
  // The time for which a missing command holds is over meanwhile.
  EXPECT_EQ(load(Callers, Millis(8'000)), 0U);
}

// Guards against a domain that stays out of service by a command that was
// withdrawn before the store was restored, and is withdrawn again.
TEST_F(GatewayEvacuationTest, anOldCommandIsWithdrawnAgainBeforeItApplies) {
  evacuateAndAwait();
  const MetadataStore copy = Store.store();
  withdraw("zone-1");
  runUntil([&] { return load(Callers, Millis(50)) > 0; });
  Store.store().restore(copy);
  awaitLogged("store-restored");
  EXPECT_GT(load(Callers, Millis(1'500)), 0U);
  withdraw("zone-1");
  EXPECT_GT(load(Callers, Millis(500)), 0U);
  load(Callers, Millis(5'000));
  EXPECT_GT(load(Callers, Millis(500)), 0U);
}

// Guards against a gateway that starts during an outage and knows of no
// command.
TEST_F(GatewayEvacuationTest, aGatewayThatStartsFromASnapshotKnowsTheCommand) {
  const Addresses at = freeAddresses();
  std::optional<Process> other;
  start(other, "gateway-2", at);
  awaitReady(at.Readiness);
  awaitLogged("peer=gateway-2");
  evacuateAndAwait();
  StoreFaults faults;
  faults.Unresponsive = true;
  Store.setFaults(faults);
  other->kill();
  start(other, "gateway-2", at);
  awaitReady(at.Readiness);
  EXPECT_NE(other->log().find("peer-snapshot-taken"), std::string::npos);
  EXPECT_EQ(load(at.Callers, Millis(1'500)), 0U);
  Store.setFaults({});
  EXPECT_EQ(load(at.Callers, Millis(1'500)), 0U);
}

TEST_F(GatewayEvacuationTest, callersAreRejectedAtOnceWhenAllIsEvacuated) {
  evacuate("zone-1");
  evacuate("zone-2");
  runUntil([&] { return statusAt(Callers) == 503; });
  const Millis since = Clock.monotonic();
  const auto response =
      awaitResponse(sendRequest(Callers, request("GET", "/get/a")));
  EXPECT_LT(Clock.monotonic() - since, Millis(250));
  EXPECT_EQ(response->Status, 503);
  EXPECT_TRUE(response->Head.Fields.find("Retry-After"));
  withdraw("zone-1");
  runUntil([&] { return statusAt(Callers) == 200; });
}

} // namespace
