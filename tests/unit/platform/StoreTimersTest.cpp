#include "cowslipridge/platform/QuarantineRecords.hpp"
#include "cowslipridge/platform/StoreRegistration.hpp"
#include "cowslipridge/platform/StoreWatcher.hpp"

#include "cowslipridge/http1/LoopTimer.hpp"
#include "support/LoopFixture.hpp"

#include <algorithm>
#include <string>
#include <vector>

using namespace cowslipridge;
using namespace cowslipridge::platform;

namespace {

/// Records the calls that a gateway makes to the store, and answers them.
class StoreTimersTest : public support::LoopFixture {
protected:
  StoreTimersTest()
      : Address(ownAddress()),
        Server(Loop, Clock, [this](const auto &it) { onCall(it); }),
        Store(Loop, Clock, {Address.address().to_string(), Address.port()},
              Metrics) {
    Server.listen(Address);
    Store.setListeners(
        {[](const std::string &) {}, [] {}, [](core::Millis) {}, [] {}});
  }

  void onCall(const std::shared_ptr<http1::Exchange> &exchange) {
    Calls.push_back(exchange->head().Target);
    Last = exchange;
    if (Answers)
      answer(*exchange);
  }

  void answer(http1::Exchange &exchange) const {
    http1::ResponseHead head;
    head.Status = Status;
    exchange.respond(std::move(head), R"({"lease": 7})");
  }

  [[nodiscard]] std::ptrdiff_t count(const std::string &target) const {
    return std::count(Calls.begin(), Calls.end(), target);
  }

  /// Lets `event` happen in the turn of the loop in which a wait that began
  /// before expires, just before its handler.
  void stallUntilAfter(core::Millis wait, std::function<void()> event) {
    http1::LoopTimer first(Loop);
    first.start(core::Millis(1), std::move(event));
    stall(wait + core::Millis(50));
    Loop.restart();
    Loop.poll();
  }

  Tcp::endpoint Address;
  observe::Metrics Metrics{core::InstanceId("a"), core::FailureDomainId("z")};
  http1::Server Server;
  MonitoredStoreClient Store;
  std::vector<std::string> Calls;
  std::shared_ptr<http1::Exchange> Last;
  bool Answers = true;
  int Status = 200;
};

const std::string Grant = "/v1/kv-lease";
const std::string Write = "/v1/kv-txn";

// Guards against a part of the fleet's fixed retries that a gateway keeps
// although the others no longer know of it.
TEST_F(StoreTimersTest, registrationIsCertainFromItsEntryToTheEndOfItsLease) {
  constexpr core::Millis Lease{4'000};
  std::vector<limits::Registration> changes;
  StoreRegistration registration(Loop, Store);
  registration.setListener(
      [&](const limits::Registration &it) { changes.push_back(it); });
  const core::Millis begun = Clock.monotonic();
  registration.start("servers/a", "a");
  runUntil([&] { return !changes.empty(); });
  EXPECT_EQ(count(Write), 1);
  EXPECT_GE(changes.front().Since, begun);
  EXPECT_LE(changes.front().Until, changes.front().Since + Lease);

  runUntil([&] { return changes.size() == 2; });
  EXPECT_EQ(changes.back().Since, changes.front().Since) << "it was renewed";
  EXPECT_GT(changes.back().Until, changes.front().Until);

  Status = 404;
  runUntil([&] { return changes.size() == 3; });
  EXPECT_LE(changes.back().Until, Clock.monotonic()) << "its lease has ended";
}

// Guards against an entry that is written under two leases, of which only one
// is renewed: the entry ends with the other.
TEST_F(StoreTimersTest, registeringAgainRequestsOneLease) {
  constexpr core::Millis RenewInterval{1'000};
  StoreRegistration registration(Loop, Store);
  registration.start("servers/a", "a");
  runUntil([&] { return count(Write) == 1; });
  stallUntilAfter(RenewInterval, [&] { registration.registerAgain(); });
  runUntil([&] { return count(Write) >= 2; });
  EXPECT_EQ(count(Grant), 2);
}

TEST_F(StoreTimersTest, deregistrationIsTheLastCall) {
  constexpr core::Millis RenewInterval{1'000};
  StoreRegistration registration(Loop, Store);
  registration.start("servers/a", "a");
  runUntil([&] { return count(Write) == 1; });
  stallUntilAfter(RenewInterval, [&] { registration.deregister(); });
  runUntil([&] { return Calls.size() == 3; });
  EXPECT_EQ(Calls.back(), "/v1/kv-lease-end/7");
}

// Guards against an entry that is written after the gateway has withdrawn it,
// because the lease was granted only then.
TEST_F(StoreTimersTest, leaseThatIsGrantedAfterDeregistrationIsNotUsed) {
  Answers = false;
  StoreRegistration registration(Loop, Store);
  registration.start("servers/a", "a");
  runUntil([&] { return count(Grant) == 1; });
  registration.deregister();
  answer(*Last);
  bool isOver = false;
  Store.send(StoreCallKind::Renew, renewLeaseCall(1), core::Millis(500),
             [&](const StoreReply &) { isOver = true; });
  runUntil([&] { return isOver; });
  EXPECT_EQ(count(Write), 0);
}

// Guards against a second watch beside the one that the snapshot of another
// gateway has started.
TEST_F(StoreTimersTest, snapshotStartsOneWatchInPlaceOfTheRetry) {
  constexpr core::Millis RetryDelay{250};
  Status = 503;
  StoreWatcher watcher(Loop, Store, 1);
  watcher.start({[](const auto &) {}, [](const auto &) {}});
  runUntil([&] { return Store.hasStoreResponded(); });
  Answers = false;
  stallUntilAfter(RetryDelay, [&] { watcher.applySnapshot({}); });
  const core::Millis begun = Store.now();
  runUntil([&] { return Store.now() > begun + RetryDelay; });
  EXPECT_EQ(Calls.size(), 2U);
}

// Guards against a record that is written without the delay that spreads the
// writes of gateways which take the same decision.
TEST_F(StoreTimersTest, quarantineThatReplacesAWaitIsWrittenOnce) {
  constexpr core::Millis MaxJitter{500};
  Answers = false;
  QuarantineRecords records(Loop, Clock, Store, 1);
  const auto quarantine = [](std::uint64_t id) {
    return limits::QuarantinedTrait{{core::ServiceId("llm"), id},
                                    core::Millis(60'000)};
  };
  records.write(quarantine(1));
  stallUntilAfter(MaxJitter, [&] { records.write(quarantine(2)); });
  // Both records are missing: a wait that was replaced would have written them
  // in that turn, and the one that replaced it writes them again.
  runUntil([&] { return Calls.size() >= 2; });
  const core::Millis begun = Store.now();
  runUntil([&] { return Store.now() > begun + MaxJitter; });
  EXPECT_EQ(count(Grant), 2);
}

} // namespace
