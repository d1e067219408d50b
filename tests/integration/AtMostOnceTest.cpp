// End-to-end tests of invariants 6 and 7 with real processes: a non-idempotent
// call runs at most once, and a call reported as "not-run" did not run.

#include "support/Cluster.hpp"
#include "support/Declarations.hpp"

#include "support/Waiting.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <thread>

using namespace cowslipridge;
using namespace cowslipridge::integration;
using cowslipridge::support::eventually;
using nlohmann::json;

namespace {

constexpr char DeadlineMs[] = "3000";

/// The outcomes reported to the callers of one idempotency key.
struct OutcomeCounts {
  int Ran = 0;
  int NotRun = 0;
  int Other = 0; ///< outcome unknown or connection failed
  std::string Request;
};

class AtMostOnceTest : public ::testing::Test {
protected:
  void SetUp() override {
    Fleet.publish({deskText()});
    for (const std::string name : {"desk-1", "desk-2"}) {
      Runners.push_back(&Fleet.addPlainRunner(name));
      Sidecars.push_back(
          &Fleet.addSidecar(name, "desk", "desk@1", *Runners.back()));
    }
    for (const std::string name : {"entry-1", "entry-2"})
      Entries.push_back(&Fleet.addEntry(name));
    for (Daemon *it : Entries) {
      Caller caller(it->base(), StewardKey);
      ASSERT_TRUE(eventually([&] {
        return caller.get("/services/desk/rinks").status() == 200;
      })) << it->process().log();
    }
  }

  static http::Request booking(const std::string &key,
                               const std::string &deadlineMs = DeadlineMs) {
    return {
        "POST",
        "/services/desk/bookings",
        {{"Idempotency-Key", key}, {"Cowslipridge-Deadline-Ms", deadlineMs}},
        key};
  }

  /// Sends one booking and records the reported outcome.
  void book(Daemon &entry, const std::string &key,
            const std::string &deadlineMs = DeadlineMs) {
    recordOutcome(
        key, Caller(entry.base(), StewardKey).call(booking(key, deadlineMs)));
  }

  void recordOutcome(const std::string &key, const CallResult &result) {
    const std::string outcome =
        result.Error ? "" : result.header("Cowslipridge-Outcome");
    const std::lock_guard lock(Mutex);
    OutcomeCounts &counts = Reported[key];
    if (outcome == "ran")
      ++counts.Ran;
    else if (outcome == "not-run")
      ++counts.NotRun;
    else
      ++counts.Other;
    const std::string request = result.header("Cowslipridge-Request");
    if (!request.empty())
      counts.Request = request;
  }

  /// Returns the number of runs of each request, over all runners.
  std::map<std::string, int> runsByRequest() {
    std::map<std::string, int> counts;
    for (const StandInProcess *it : Runners) {
      const json page = it->page("/debug/runs");
      for (const json &run : page["runs"])
        counts[run["request"].get<std::string>()] += run["count"].get<int>();
    }
    return counts;
  }

  /// Checks that every key ran at most once and that the reported outcomes
  /// match the runs.
  void expectReportsMatchRuns() {
    const auto runsOf = runsByRequest();
    for (const auto &[key, counts] : Reported) {
      const auto it = runsOf.find(counts.Request);
      const int runs = it == runsOf.end() ? 0 : it->second;
      EXPECT_LE(runs, 1) << key;
      if (counts.Ran > 0) {
        EXPECT_EQ(runs, 1) << key << " was reported as run";
      } else if (counts.Other == 0) {
        EXPECT_EQ(runs, 0) << key << " was reported as not run";
      }
    }
  }

  [[nodiscard]] int countOf(int OutcomeCounts::*kind) const {
    int sum = 0;
    for (const auto &[key, counts] : Reported)
      sum += counts.*kind;
    return sum;
  }

  Cluster Fleet;
  std::vector<StandInProcess *> Runners;
  std::vector<Daemon *> Sidecars;
  std::vector<Daemon *> Entries;
  std::mutex Mutex;
  std::map<std::string, OutcomeCounts> Reported;
};

// Invariant 7: four concurrent calls with one key through two entries must run
// once. Ensured by the claim that is committed before the run, and by the
// single owner of the key's shard.
TEST_F(AtMostOnceTest, concurrentCallsWithOneKeyThroughTwoEntriesRunOnce) {
  std::vector<std::pair<std::string, OpenCall>> calls;
  std::vector<std::unique_ptr<Caller>> callers;
  for (Daemon *it : Entries)
    callers.push_back(std::make_unique<Caller>(it->base(), StewardKey));
  for (int n = 0; n < 20; ++n) {
    const std::string key = "at-once-" + std::to_string(n);
    for (int copy = 0; copy < 4; ++copy)
      calls.emplace_back(
          key,
          callers[static_cast<std::size_t>(copy) % 2]->start(booking(key)));
  }
  for (auto &[key, call] : calls)
    recordOutcome(key, call.result());
  expectReportsMatchRuns();
  EXPECT_EQ(countOf(&OutcomeCounts::Ran), 80);
}

// Invariants 6 and 7: a sidecar is suspended for longer than every timeout
// under load, its shards are taken over, and it resumes. A stale owner could
// run calls twice. Prevented by sealing: its next append to the journal fails,
// so that it runs nothing.
TEST_F(AtMostOnceTest, suspendedShardOwnerRunsNothingAfterResuming) {
  for (int n = 0; n < 10; ++n)
    book(*Entries[n % 2], "before-" + std::to_string(n));
  Sidecars[0]->process().suspend();
  std::vector<std::thread> workers;
  for (std::size_t n = 0; n < 16; ++n)
    workers.emplace_back([this, n] {
      const std::string key = "frozen-" + std::to_string(n);
      for (std::size_t attempt = 0; attempt < 3; ++attempt)
        book(*Entries[(n + attempt) % 2], key);
    });
  for (std::thread &it : workers)
    it.join();
  Sidecars[0]->process().resume();
  for (std::size_t n = 0; n < 16; ++n)
    book(*Entries[n % 2], "frozen-" + std::to_string(n));
  EXPECT_TRUE(eventually([this] {
    const std::string key = "after-" + std::to_string(Reported.size());
    book(*Entries[0], key);
    return Reported[key].Ran == 1;
  }));
  expectReportsMatchRuns();
}

// Invariant 6: sidecars and entries are killed one after another, under
// bookings that are never retried and while store replies get lost. The
// outcomes reported to callers must match the runs.
TEST_F(AtMostOnceTest, reportedOutcomesMatchRunsWhileProcessesAreKilled) {
  Fleet.store().setFaults({{"lose_reply_chance", 0.05}, {"seed", 7}});
  std::atomic<bool> stopping = false;
  std::atomic<int> ran = 0; ///< calls reported as run
  std::vector<std::thread> workers;
  for (std::size_t n = 0; n < 4; ++n)
    workers.emplace_back([&, n] {
      for (int round = 0; !stopping; ++round) {
        const std::string key = std::to_string(n) + "-" + std::to_string(round);
        book(*Entries[n % 2], key);
        const std::lock_guard lock(Mutex);
        ran += Reported[key].Ran;
      }
    });
  const auto waitForRuns = [&](int more) {
    const int wanted = ran + more;
    return eventually([&] { return ran >= wanted; });
  };
  EXPECT_TRUE(waitForRuns(20));
  for (Daemon *it : {Sidecars[0], Entries[0], Sidecars[1], Entries[1]}) {
    it->process().kill();
    it->start();
    EXPECT_TRUE(it->waitUntilReady()) << it->process().log();
    EXPECT_TRUE(waitForRuns(20));
  }
  stopping = true;
  for (std::thread &it : workers)
    it.join();
  expectReportsMatchRuns();
  EXPECT_GE(countOf(&OutcomeCounts::Ran), 100);
}

// Invariants 6 and 7: entries and sidecars stand still for longer than most
// timeouts, one or two at a time, while bookings flow that are never retried,
// and connections are made anew in between. When a process runs again, its
// timeouts have expired and the events they waited for have happened, both at
// once: no expired timeout may say "not run" of a booking that was sent.
TEST_F(AtMostOnceTest, pausesOfEntriesAndSidecarsRunNothingTwice) {
  constexpr int Pauses = 6;
  constexpr std::chrono::milliseconds PauseLength{700};
  std::minstd_rand random(31);
  std::atomic<bool> stopping = false;
  std::atomic<int> ran = 0; ///< calls reported as run
  std::vector<std::thread> workers;
  for (std::size_t n = 0; n < 4; ++n)
    workers.emplace_back([&, n] {
      const std::string deadlineMs = n < 2 ? "300" : DeadlineMs;
      for (int round = 0; !stopping; ++round) {
        const std::string key = std::to_string(n) + "-" + std::to_string(round);
        book(*Entries[n % 2], key, deadlineMs);
        const std::lock_guard lock(Mutex);
        ran += Reported[key].Ran;
      }
    });
  const std::vector<Daemon *> all = {Entries[0], Entries[1], Sidecars[0],
                                     Sidecars[1]};
  for (int n = 0; n < Pauses; ++n) {
    const int wanted = ran + 10;
    EXPECT_TRUE(eventually([&] { return ran >= wanted; }));
    Daemon &first = *all[random() % all.size()];
    Daemon &second = *all[random() % all.size()];
    // The entries connect to the restarted sidecar while one of them is paused.
    if (n % 3 == 2) {
      Sidecars[0]->process().kill();
      Sidecars[0]->start();
    }
    first.process().suspend();
    second.process().suspend();
    std::this_thread::sleep_for(PauseLength); // the stimulus
    first.process().resume();
    second.process().resume();
  }
  stopping = true;
  for (std::thread &it : workers)
    it.join();
  expectReportsMatchRuns();
  for (const auto &[request, runs] : runsByRequest())
    EXPECT_LE(runs, 1) << request;
  RecordProperty("ran", countOf(&OutcomeCounts::Ran));
  RecordProperty("not_run", countOf(&OutcomeCounts::NotRun));
  RecordProperty("other", countOf(&OutcomeCounts::Other));
  EXPECT_GE(countOf(&OutcomeCounts::Ran), 10 * Pauses);
}

// Invariant 6: during a store outage a booking is rejected immediately as
// "not-run", with Retry-After; after the outage the same key runs.
TEST_F(AtMostOnceTest, rejectsBookingsImmediatelyDuringStoreOutage) {
  book(*Entries[0], "warm");
  Fleet.store().setFaults({{"outage", "refuse"}});
  const auto refused =
      Caller(Entries[0]->base(), StewardKey).call(booking("outage-1"));
  recordOutcome("outage-1", refused);
  EXPECT_EQ(refused.status(), 503) << refused.Response.Body;
  EXPECT_EQ(refused.header("Cowslipridge-Outcome"), "not-run");
  EXPECT_NE(refused.header("Retry-After"), "");
  expectReportsMatchRuns();
  Fleet.store().setFaults(json::object());
  EXPECT_TRUE(eventually([this] {
    book(*Entries[1], "outage-1");
    return Reported["outage-1"].Ran == 1;
  }));
  expectReportsMatchRuns();
}

} // namespace
