// The Consul store adapter over a faulty network: the status that it reports
// must agree with what the store did.

#include "support/Caller.hpp"
#include "support/FaultProxy.hpp"

#include "cowslipridge/backing/ConsulStore.hpp"
#include "cowslipridge/core/Error.hpp"
#include "standins/Host.hpp"
#include "standins/KeyValueStore.hpp"

#include "support/Loopback.hpp"
#include "support/Waiting.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::integration;
using namespace cowslipridge::backing;
using namespace cowslipridge::standins;

namespace {

class StoreProofTest : public ::testing::Test {
protected:
  void SetUp() override { ASSERT_FALSE(Service.open()); }

  SwapStatus swap(const std::string &value, Revision expected) {
    support::EventualValue<SwapResult> received;
    Port->compareAndSwap("k", value, expected,
                         [&](SwapResult result) { received.set(result); });
    return received.get().value_or(SwapResult{}).Status;
  }

  std::optional<StoreEntry> read() {
    support::EventualValue<core::Result<std::optional<StoreEntry>>> received;
    Port->get("k", [&](const auto &entry) { received.set(entry); });
    const auto entry = received.get();
    if (!entry || !entry->ok())
      return std::nullopt;
    return **entry;
  }

  std::uint64_t writes() {
    return Direct.get("/debug/calls").json()["writes"].get<std::uint64_t>();
  }

  std::string Address = support::loopbackAddress();
  std::uint16_t ServicePort = support::nextPort();
  std::uint16_t ProxyPort = support::nextPort();
  std::shared_ptr<Scheduler> Timer = std::make_shared<Scheduler>();
  Host Service{Address, ServicePort, Timer,
               std::make_shared<KeyValueStore>(KeyValueSettings{}, Timer)};
  FaultProxy Proxy{Address, ProxyPort, Address, ServicePort};
  std::shared_ptr<Store> Port =
      makeConsulStore(support::baseUrl(ProxyPort), core::Millis(400));
  Caller Direct{support::baseUrl(ServicePort)};
};

TEST_F(StoreProofTest, reportsLostReplyAfterWriteTookEffect) {
  LinkFaults lossy;
  lossy.Dropped = true;
  Proxy.setFaultsToCaller(lossy);
  EXPECT_EQ(swap("mine", 0), SwapStatus::LostReply);
  Proxy.clearFaults();
  const auto entry = read();
  ASSERT_TRUE(entry);
  EXPECT_EQ(entry->Value, "mine");
  EXPECT_EQ(writes(), 1U) << "the adapter must not retry the write";
}

TEST_F(StoreProofTest, reportsLostReplyWhenConnectionIsResetMidReply) {
  LinkFaults fragile;
  fragile.ResetAfterBytes = 20;
  Proxy.setFaultsToCaller(fragile);
  EXPECT_EQ(swap("mine", 0), SwapStatus::LostReply);
  Proxy.clearFaults();
  EXPECT_EQ(read().value_or(StoreEntry{}).Value, "mine");
  EXPECT_EQ(writes(), 1U);
}

TEST_F(StoreProofTest, reportsLostReplyWhenRequestNeverArrived) {
  LinkFaults lossy;
  lossy.Dropped = true;
  Proxy.setFaultsToTarget(lossy);
  EXPECT_EQ(swap("mine", 0), SwapStatus::LostReply)
      << "the adapter cannot know that the request never arrived";
  Proxy.clearFaults();
  EXPECT_FALSE(read());
  EXPECT_EQ(writes(), 0U);
}

TEST_F(StoreProofTest, reportsUnavailableWhenConnectionIsRefused) {
  Proxy.setRefusing(true);
  EXPECT_EQ(swap("mine", 0), SwapStatus::Unavailable);
  Proxy.clearFaults();
  EXPECT_FALSE(read());
  EXPECT_EQ(writes(), 0U);
}

// The store delays the write, not the network: the client resets the connection
// of an attempt that timed out, so that bytes that wait on the way are lost.
TEST_F(StoreProofTest, reportsMismatchAfterDelayedWriteOfEarlierAttempt) {
  constexpr int DelayMs = 1'000; // over the timeout of the client
  Direct.put("/debug/faults", {{"delay_ms", DelayMs}});
  EXPECT_EQ(swap("first", 0), SwapStatus::LostReply);
  Direct.put("/debug/faults", nlohmann::json::object());
  ASSERT_TRUE(support::eventually([&] { return writes() == 1; }))
      << "the first attempt must take effect after its timeout";
  EXPECT_EQ(swap("second", 0), SwapStatus::Mismatch);
  EXPECT_EQ(read().value_or(StoreEntry{}).Value, "first");
}

TEST_F(StoreProofTest, acceptsSlowRepliesWithinTheTimeout) {
  LinkFaults slow;
  slow.Delay = std::chrono::milliseconds(50);
  Proxy.setFaultsToTarget(slow);
  Proxy.setFaultsToCaller(slow);
  EXPECT_EQ(swap("mine", 0), SwapStatus::Swapped);
  EXPECT_EQ(swap("mine", 0), SwapStatus::Mismatch);
}

TEST_F(StoreProofTest, watchWorksAgainAfterAPartition) {
  support::EventualValue<core::Result<WatchResult>> lost;
  Port->watch("k", 1, core::Millis(300),
              [&](const auto &result) { lost.set(result); });
  Proxy.block();
  const auto failed = lost.get();
  ASSERT_TRUE(failed);
  EXPECT_EQ(failed->error(), core::Errc::StoreUnavailable);
  Proxy.clearFaults();
  EXPECT_EQ(swap("mine", 0), SwapStatus::Swapped);
  support::EventualValue<core::Result<WatchResult>> received;
  Port->watch("k", 1, core::Millis(300),
              [&](const auto &result) { received.set(result); });
  const auto seen = received.get();
  ASSERT_TRUE(seen && seen->ok());
  EXPECT_EQ((**seen).Entries.size(), 1U);
}

} // namespace
