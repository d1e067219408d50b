#include "cowslipridge/ledger/Ledger.hpp"

#include "MemoryStore.hpp"
#include "cowslipridge/ledger/BillReader.hpp"
#include "cowslipridge/observe/EventLog.hpp"

#include <future>
#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::ledger;

namespace {

const core::ServiceId Service("booking");
constexpr std::chrono::seconds Timeout{20};

/// Starts an asynchronous call and waits for its result.
template <typename T, typename Start> T await(Start start) {
  auto promise = std::make_shared<std::promise<T>>();
  std::future<T> answer = promise->get_future();
  start([promise](T value) { promise->set_value(std::move(value)); });
  if (answer.wait_for(Timeout) != std::future_status::ready)
    throw std::runtime_error("asynchronous call did not complete");
  return answer.get();
}

template <typename Start> void awaitDone(Start start) {
  await<int>([&](auto done) { start([done] { done(0); }); });
}

class LedgerTest : public testing::Test {
protected:
  std::unique_ptr<Ledger> startLedger(const std::string &instance) {
    LedgerSettings settings;
    settings.Instance = core::InstanceId(instance);
    settings.Start = core::Incarnation(1);
    settings.Service = Service;
    settings.Shards = 1;
    settings.MaxCommitInterval = core::Millis(5);
    auto ledger = std::make_unique<Ledger>(settings, Store, Clock, Events);
    await<std::error_code>([&](auto done) { ledger->start(done); });
    return ledger;
  }

  static Claim claimOf(const std::string &key) {
    return {{core::OrganisationId("club"), Service, key},
            core::RequestId("k-" + key),
            core::SystemClock().wall()};
  }

  static ClaimDecision claimAt(Ledger &ledger, const std::string &key) {
    return await<ClaimDecision>(
        [&](auto done) { ledger.claim(claimOf(key), done); });
  }

  // A ledger refuses the claims of a shard until it has adopted the shard, so
  // refused claims are retried.
  static ClaimDecision claimWhenServed(Ledger &ledger, const std::string &key) {
    const auto end = std::chrono::steady_clock::now() + Timeout;
    ClaimDecision decision = claimAt(ledger, key);
    while (std::holds_alternative<ClaimRefused>(decision) &&
           std::chrono::steady_clock::now() < end)
      decision = claimAt(ledger, key);
    return decision;
  }

  static void recordOutcome(Ledger &ledger, const std::string &key) {
    const ClaimOutcome outcome{claimOf(key).Key, core::Outcome::Ran, 201, "x"};
    awaitDone([&](auto done) { ledger.recordOutcome(outcome, done); });
  }

  core::SystemClock Clock;
  observe::EventLog Events{Clock, core::InstanceId("test"),
                           core::Incarnation(1), 1'000};
  std::shared_ptr<MemoryStore> Store = std::make_shared<MemoryStore>();
};

TEST_F(LedgerTest, runsKeyOnceAndReplaysItsOutcome) {
  const auto ledger = startLedger("a");
  EXPECT_TRUE(
      std::holds_alternative<RunClaimed>(claimWhenServed(*ledger, "k")));
  EXPECT_TRUE(std::holds_alternative<AlreadyRunning>(claimAt(*ledger, "k")));
  recordOutcome(*ledger, "k");
  const ClaimDecision again = claimAt(*ledger, "k");
  ASSERT_TRUE(std::holds_alternative<ReplayOutcome>(again));
  EXPECT_EQ(std::get<ReplayOutcome>(again).Earlier.Answer, "x");
}

TEST_F(LedgerTest, reportsOutcomeToAttachedRetry) {
  const auto ledger = startLedger("a");
  claimWhenServed(*ledger, "k");
  const auto outcome = await<ClaimOutcome>([&](auto done) {
    ledger->attach(claimOf("k").Key, done);
    recordOutcome(*ledger, "k");
  });
  EXPECT_EQ(outcome.Status, 201);
}

TEST_F(LedgerTest, replaysOutcomeRecordedByClosedLedger) {
  const auto first = startLedger("a");
  claimWhenServed(*first, "k");
  recordOutcome(*first, "k");
  awaitDone([&](auto done) { first->close(done); });
  const auto second = startLedger("b");
  const ClaimDecision decision = claimWhenServed(*second, "k");
  ASSERT_TRUE(std::holds_alternative<ReplayOutcome>(decision));
  EXPECT_EQ(std::get<ReplayOutcome>(decision).Earlier.Result,
            core::Outcome::Ran);
}

TEST_F(LedgerTest, takeOverSetsOutcomeOfRunningCallToUnknown) {
  const auto dead = startLedger("a");
  claimWhenServed(*dead, "k");
  const auto taker = startLedger("b");
  const auto ec = await<std::error_code>(
      [&](auto done) { taker->takeOver(core::InstanceId("a"), done); });
  EXPECT_FALSE(ec);
  const ClaimDecision decision = claimWhenServed(*taker, "k");
  ASSERT_TRUE(std::holds_alternative<ReplayOutcome>(decision));
  EXPECT_EQ(std::get<ReplayOutcome>(decision).Earlier.Result,
            core::Outcome::Unknown);
}

// Guards against "not run" for a call that runs: a ledger that stood still
// while another took its shards over forgot the claim between the retry's claim
// and its attach.
TEST_F(LedgerTest, retryIsNotToldThatARunningCallDidNotRun) {
  const auto suspended = startLedger("a");
  claimWhenServed(*suspended, "k");
  EXPECT_TRUE(std::holds_alternative<AlreadyRunning>(claimAt(*suspended, "k")));
  const auto taker = startLedger("b");
  const auto ec = await<std::error_code>(
      [&](auto done) { taker->takeOver(core::InstanceId("a"), done); });
  EXPECT_FALSE(ec);
  const ClaimDecision other = claimAt(*suspended, "other"); // finds the seal
  EXPECT_TRUE(std::holds_alternative<ClaimRefused>(other));
  const auto outcome = await<ClaimOutcome>([&](auto done) {
    suspended->attach(claimOf("k").Key, done);
    recordOutcome(*suspended, "k");
  });
  EXPECT_NE(outcome.Result, core::Outcome::NotRun);
}

TEST_F(LedgerTest, refusesClaimsAndBuffersBillsWhileStoreIsDown) {
  const auto ledger = startLedger("a");
  claimWhenServed(*ledger, "k");
  Store->Down = true;
  const ClaimDecision decision = claimAt(*ledger, "other");
  ASSERT_TRUE(std::holds_alternative<ClaimRefused>(decision));
  EXPECT_GT(std::get<ClaimRefused>(decision).RetryAfter, core::Millis(0));
  ledger->bill({core::RequestId("m-1"),
                core::OrganisationId("club"),
                Service,
                core::Outcome::Ran,
                {},
                core::Millis(1)});
  EXPECT_GT(ledger->pending(), 0U);
  Store->Down = false;
  awaitDone([&](auto done) { ledger->close(done); });
  const auto report = await<core::Result<BillReport>>(
      [&](auto done) { readBills(*Store, Service, done); });
  ASSERT_TRUE(report.ok());
  EXPECT_EQ(report->Bills.count(core::RequestId("m-1")), 1U);
  ASSERT_EQ(report->Unsettled.size(), 1U);
  EXPECT_EQ(report->Unsettled[0].Request, core::RequestId("k-k"));
}

TEST_F(LedgerTest, keepsFirstPinOfSession) {
  const auto ledger = startLedger("a");
  claimWhenServed(*ledger, "k");
  const auto pinTo = [&](const std::string &version) {
    const SessionPin wanted{core::OrganisationId("club"), Service,
                            core::SessionId("s"), core::VersionId(version)};
    return await<core::Result<SessionPin>>(
        [&](auto done) { ledger->pin(wanted, done); });
  };
  EXPECT_EQ(pinTo("one")->Version, core::VersionId("one"));
  EXPECT_EQ(pinTo("two")->Version, core::VersionId("one"));
}

} // namespace
