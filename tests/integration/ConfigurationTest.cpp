// End-to-end tests of invariants 2, 3 and 10 with real processes.

#include "support/Cluster.hpp"
#include "support/Declarations.hpp"

#include "support/Waiting.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

using namespace cowslipridge;
using namespace cowslipridge::integration;
using cowslipridge::support::eventually;
using nlohmann::json;

namespace {

/// Limit of the time until an accepted configuration is in force on every
/// daemon.
constexpr std::chrono::seconds PropagationLimit{5};

class ConfigurationTest : public ::testing::Test {
protected:
  void SetUp() override {
    Fleet.publish({fittingText(), deskText()});
    for (const std::string name : {"fit-1", "fit-2"}) {
      Runners.push_back(&Fleet.addRunner(name));
      Daemons.push_back(&Fleet.addSidecar(name, "fitting", "small@1, large@1",
                                          *Runners.back()));
    }
    for (const std::string name : {"entry-1", "entry-2"}) {
      Daemons.push_back(&Fleet.addEntry(name));
      Entries.push_back(Daemons.back());
    }
    for (Daemon *it : Entries)
      waitForService(*it);
  }

  void waitForService(const Daemon &entry) {
    Caller caller(entry.base(), ParentKey);
    ASSERT_TRUE(eventually([&] {
      return caller.call(makeChat({.Service = "fitting"})).status() == 200;
    }));
  }

  static std::uint64_t generationOf(const Daemon &daemon) {
    const json status = daemon.adminPage("/admin/status");
    return status.is_object() ? status.value("generation", std::uint64_t{0})
                              : 0;
  }

  [[nodiscard]] bool allHaveGeneration(std::uint64_t generation) const {
    return std::all_of(Daemons.begin(), Daemons.end(), [&](const Daemon *it) {
      return generationOf(*it) >= generation;
    });
  }

  CallResult chatInSession(const Daemon &entry, const std::string &key,
                           const std::string &token) {
    return Caller(entry.base(), key)
        .call(makeChat({.Service = "fitting",
                        .Fields = {{"Cowslipridge-Session", token}}}));
  }

  Cluster Fleet;
  std::vector<StandInProcess *> Runners;
  std::vector<Daemon *> Daemons;
  std::vector<Daemon *> Entries;
};

// Invariant 10: a change is in force everywhere within 5 s, even if the store
// is slow and loses replies and two operators publish concurrently.
TEST_F(ConfigurationTest, changeIsInForceEverywhereWithinLimit) {
  const std::uint64_t before = generationOf(*Entries[0]);
  Fleet.store().setFaults({{"delay_ms", 150}, {"lose_reply_chance", 0.1}});
  std::string desk = deskText();
  desk.replace(desk.find("10s"), 3, "11s");
  std::thread other([&] { Fleet.publish({desk}); });
  Fleet.publish({fittingText("withdrawn")});
  other.join();
  EXPECT_TRUE(eventually([&] { return allHaveGeneration(before + 2); },
                         PropagationLimit));
  const auto refused = Caller(Entries[1]->base(), StewardKey)
                           .call(makeChat({.Service = "fitting"}));
  EXPECT_EQ(refused.header("Cowslipridge-Outcome"), "not-run")
      << refused.Response.Body;
}

// Invariants 2 and 10: a daemon that starts during a store outage fetches the
// newest configuration from its peers, never an older one; a withdrawn version
// stays withdrawn.
TEST_F(ConfigurationTest,
       restartedInstanceGetsConfigurationFromPeersDuringStoreOutage) {
  Fleet.publish({fittingText("withdrawn")});
  const std::uint64_t newest = generationOf(*Entries[0]);
  ASSERT_TRUE(eventually([&] {
    return Caller(Entries[0]->base(), StewardKey)
               .call(makeChat({.Service = "fitting"}))
               .status() != 200;
  }));
  ASSERT_TRUE(
      eventually([&] { return allHaveGeneration(newest); }, PropagationLimit));
  Fleet.store().setFaults({{"outage", "refuse"}});
  Daemon &sidecar = *Daemons[0];
  sidecar.process().kill();
  sidecar.start();
  EXPECT_TRUE(eventually([&] { return generationOf(sidecar) >= newest; },
                         PropagationLimit))
      << sidecar.process().log();
  const auto refused = Caller(Entries[0]->base(), StewardKey)
                           .call(makeChat({.Service = "fitting"}));
  EXPECT_EQ(refused.header("Cowslipridge-Outcome"), "not-run");
  Fleet.store().setFaults(json::object());
  waitForService(*Entries[0]);
  EXPECT_GE(generationOf(sidecar), newest);
}

// Invariant 3: a session token stays valid after every process has restarted
// and at every entry, is rejected for other organisations, and fails with
// "session-ended" once its version is withdrawn.
TEST_F(ConfigurationTest, sessionKeepsItsVersionAcrossRestarts) {
  const auto first = Caller(Entries[0]->base(), ParentKey)
                         .call(makeChat({.Service = "fitting"}));
  const std::string token = first.header("Cowslipridge-Session");
  const std::string version = first.header("Cowslipridge-Version");
  ASSERT_NE(token, "") << first.Response.Body;
  for (Daemon *it : Daemons) {
    it->process().kill();
    it->start();
    ASSERT_TRUE(it->waitUntilReady()) << it->process().log();
  }
  for (Daemon *it : Entries) {
    waitForService(*it);
    const auto next = chatInSession(*it, ParentKey, token);
    EXPECT_EQ(next.status(), 200) << next.Response.Body;
    EXPECT_EQ(next.header("Cowslipridge-Version"), version);
    const auto foreign = chatInSession(*it, StewardKey, token);
    EXPECT_EQ(foreign.status(), 400);
    EXPECT_EQ(foreign.header("Cowslipridge-Outcome"), "not-run");
  }
  ASSERT_EQ(version, "small@1");
  Fleet.publish({fittingText("withdrawn")});
  ASSERT_TRUE(eventually(
      [&] {
        return chatInSession(*Entries[1], ParentKey, token).status() == 410;
      },
      PropagationLimit));
  const auto ended = chatInSession(*Entries[0], ParentKey, token);
  EXPECT_EQ(ended.json().value("type", ""),
            "urn:cowslipridge:problem:session-ended");
}

} // namespace
