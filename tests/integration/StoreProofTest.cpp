// The store's adapter over a broken network: what it reports must agree with
// what the service did.

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
    support::EventualValue<SwapResult> heard;
    Port->compareAndSwap("k", value, expected,
                         [&](SwapResult result) { heard.set(result); });
    return heard.get().value_or(SwapResult{}).Status;
  }

  std::optional<StoreEntry> read() {
    support::EventualValue<core::Result<std::optional<StoreEntry>>> heard;
    Port->get("k", [&](const auto &entry) { heard.set(entry); });
    const auto entry = heard.get();
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

TEST_F(StoreProofTest, replyLostAfterTheWriteTookEffect) {
  LinkFaults lossy;
  lossy.Dropped = true;
  Proxy.setFaultsToCaller(lossy);
  EXPECT_EQ(swap("mine", 0), SwapStatus::LostReply);
  Proxy.clearFaults();
  const auto entry = read();
  ASSERT_TRUE(entry);
  EXPECT_EQ(entry->Value, "mine");
  EXPECT_EQ(writes(), 1U) << "the adapter must not send the write again";
}

TEST_F(StoreProofTest, connectionResetInMidReply) {
  LinkFaults fragile;
  fragile.ResetAfterBytes = 20;
  Proxy.setFaultsToCaller(fragile);
  EXPECT_EQ(swap("mine", 0), SwapStatus::LostReply);
  Proxy.clearFaults();
  EXPECT_EQ(read().value_or(StoreEntry{}).Value, "mine");
  EXPECT_EQ(writes(), 1U);
}

TEST_F(StoreProofTest, requestLostBeforeItArrived) {
  LinkFaults lossy;
  lossy.Dropped = true;
  Proxy.setFaultsToTarget(lossy);
  EXPECT_EQ(swap("mine", 0), SwapStatus::LostReply)
      << "the adapter cannot know that nothing arrived";
  Proxy.clearFaults();
  EXPECT_FALSE(read());
  EXPECT_EQ(writes(), 0U);
}

TEST_F(StoreProofTest, refusedConnectionDidNotRun) {
  Proxy.setRefusing(true);
  EXPECT_EQ(swap("mine", 0), SwapStatus::Unavailable);
  Proxy.clearFaults();
  EXPECT_FALSE(read());
  EXPECT_EQ(writes(), 0U);
}

TEST_F(StoreProofTest, lateWriteOfAnEarlierAttemptIsSeenAsAMismatch) {
  LinkFaults held;
  held.Blocked = true;
  Proxy.setFaultsToTarget(held);
  EXPECT_EQ(swap("first", 0), SwapStatus::LostReply);
  Proxy.clearFaults();
  ASSERT_TRUE(support::eventually([&] { return writes() == 1; }))
      << "the first attempt arrives after its caller gave it up";
  EXPECT_EQ(swap("second", 0), SwapStatus::Mismatch);
  EXPECT_EQ(read().value_or(StoreEntry{}).Value, "first");
}

TEST_F(StoreProofTest, slowRepliesWithinTheTimeoutAreAnswers) {
  LinkFaults slow;
  slow.Delay = std::chrono::milliseconds(50);
  Proxy.setFaultsToTarget(slow);
  Proxy.setFaultsToCaller(slow);
  EXPECT_EQ(swap("mine", 0), SwapStatus::Swapped);
  EXPECT_EQ(swap("mine", 0), SwapStatus::Mismatch);
}

TEST_F(StoreProofTest, watchComesBackAfterAPartition) {
  support::EventualValue<core::Result<WatchResult>> lost;
  Port->watch("k", 1, core::Millis(300),
              [&](const auto &result) { lost.set(result); });
  Proxy.block();
  const auto failed = lost.get();
  ASSERT_TRUE(failed);
  EXPECT_EQ(failed->error(), core::Errc::StoreUnavailable);
  Proxy.clearFaults();
  EXPECT_EQ(swap("mine", 0), SwapStatus::Swapped);
  support::EventualValue<core::Result<WatchResult>> heard;
  Port->watch("k", 1, core::Millis(300),
              [&](const auto &result) { heard.set(result); });
  const auto seen = heard.get();
  ASSERT_TRUE(seen && seen->ok());
  EXPECT_EQ((**seen).Entries.size(), 1U);
}

} // namespace
