// Proofs of invariants 6 and 7 with real processes: a non-idempotent call runs
// at most once, and "not run" is true.

#include "support/Cluster.hpp"
#include "support/Declarations.hpp"

#include "support/Waiting.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

using namespace cowslipridge;
using namespace cowslipridge::integration;
using cowslipridge::support::eventually;
using nlohmann::json;

namespace {

constexpr char DeadlineMs[] = "3000";

/// What callers were told of one key.
struct Told {
  int Ran = 0;
  int NotRun = 0;
  int Other = 0; ///< unknown, or the connection broke
  std::string Request;
};

class AtMostOnceTest : public ::testing::Test {
protected:
  void SetUp() override {
    Fleet.publish({deskText()});
    for (const std::string name : {"desk-1", "desk-2"}) {
      Runners.push_back(&Fleet.addPlain(name));
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

  static http::Request booking(const std::string &key) {
    return {
        "POST",
        "/services/desk/bookings",
        {{"Idempotency-Key", key}, {"Cowslipridge-Deadline-Ms", DeadlineMs}},
        key};
  }

  /// Books once and notes what the answer says.
  void book(Daemon &entry, const std::string &key) {
    note(key, Caller(entry.base(), StewardKey).call(booking(key)));
  }

  void note(const std::string &key, const CallResult &result) {
    const std::string outcome =
        result.Error ? "" : result.header("Cowslipridge-Outcome");
    const std::lock_guard lock(Guard);
    Told &told = Heard[key];
    if (outcome == "ran")
      ++told.Ran;
    else if (outcome == "not-run")
      ++told.NotRun;
    else
      ++told.Other;
    const std::string request = result.header("Cowslipridge-Request");
    if (!request.empty())
      told.Request = request;
  }

  /// How often the runners ran each request.
  std::map<std::string, int> runCounts() {
    std::map<std::string, int> counts;
    for (const StandInProcess *it : Runners) {
      const json page = it->page("/debug/runs");
      for (const json &run : page["runs"])
        counts[run["request"].get<std::string>()] += run["count"].get<int>();
    }
    return counts;
  }

  /// Every key ran at most once; what was told of it is true.
  void expectTrue() {
    const auto counts = runCounts();
    for (const auto &[key, told] : Heard) {
      const auto it = counts.find(told.Request);
      const int runs = it == counts.end() ? 0 : it->second;
      EXPECT_LE(runs, 1) << key;
      if (told.Ran > 0) {
        EXPECT_EQ(runs, 1) << key << " was said to have run";
      } else if (told.Other == 0) {
        EXPECT_EQ(runs, 0) << key << " was said not to have run";
      }
    }
  }

  [[nodiscard]] int countOf(int Told::*kind) const {
    int sum = 0;
    for (const auto &[key, told] : Heard)
      sum += told.*kind;
    return sum;
  }

  Cluster Fleet;
  std::vector<StandInProcess *> Runners;
  std::vector<Daemon *> Sidecars;
  std::vector<Daemon *> Entries;
  std::mutex Guard;
  std::map<std::string, Told> Heard;
};

// Invariant 7: one key sent four times at once through two entries. Held by
// the claim that is committed before the run, and by the owner of its shard.
TEST_F(AtMostOnceTest, oneKeyThroughTwoEntriesAtOnceRunsOnce) {
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
    note(key, call.result());
  expectTrue();
  EXPECT_EQ(countOf(&Told::Ran), 80);
}

// Invariants 6 and 7: a sidecar is frozen past every time-out while calls come,
// its shards are taken over, and it goes on later. Held by sealing: the thawed
// owner's next append fails, so that it runs nothing.
TEST_F(AtMostOnceTest, aFrozenOwnerRunsNothingAfterItThaws) {
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
    const std::string key = "after-" + std::to_string(Heard.size());
    book(*Entries[0], key);
    return Heard[key].Ran == 1;
  }));
  expectTrue();
}

// Invariant 6: sidecars and entries are killed in turn under bookings that are
// never repeated, while store replies get lost. What callers were told is true.
TEST_F(AtMostOnceTest, notRunIsTrueWhileProcessesAreKilled) {
  Fleet.store().setFaults({{"lose_reply_chance", 0.05}, {"seed", 7}});
  std::atomic<bool> stopping = false;
  std::atomic<int> booked = 0; ///< calls that ran
  std::vector<std::thread> workers;
  for (std::size_t n = 0; n < 4; ++n)
    workers.emplace_back([&, n] {
      for (int turn = 0; !stopping; ++turn) {
        const std::string key = std::to_string(n) + "-" + std::to_string(turn);
        book(*Entries[n % 2], key);
        const std::lock_guard lock(Guard);
        booked += Heard[key].Ran;
      }
    });
  const auto awaitBookings = [&](int more) {
    const int wanted = booked + more;
    return eventually([&] { return booked >= wanted; });
  };
  EXPECT_TRUE(awaitBookings(20));
  for (Daemon *it : {Sidecars[0], Entries[0], Sidecars[1], Entries[1]}) {
    it->process().kill();
    it->start();
    EXPECT_TRUE(it->waitUntilReady()) << it->process().log();
    EXPECT_TRUE(awaitBookings(20));
  }
  stopping = true;
  for (std::thread &it : workers)
    it.join();
  expectTrue();
  EXPECT_GE(countOf(&Told::Ran), 100);
}

// Invariant 6: with the store down a booking is refused at once, truly, and
// with a time to come back; after the outage the same key runs.
TEST_F(AtMostOnceTest, aStoreOutageRefusesBookingsAtOnce) {
  book(*Entries[0], "warm");
  Fleet.store().setFaults({{"outage", "refuse"}});
  const auto refused =
      Caller(Entries[0]->base(), StewardKey).call(booking("outage-1"));
  note("outage-1", refused);
  EXPECT_EQ(refused.status(), 503) << refused.Response.Body;
  EXPECT_EQ(refused.header("Cowslipridge-Outcome"), "not-run");
  EXPECT_NE(refused.header("Retry-After"), "");
  expectTrue();
  Fleet.store().setFaults(json::object());
  EXPECT_TRUE(eventually([this] {
    book(*Entries[1], "outage-1");
    return Heard["outage-1"].Ran == 1;
  }));
  expectTrue();
}

} // namespace
