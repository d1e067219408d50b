#include "cowslipridge/membership/ServerRegistry.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::membership;
using core::Millis;
using core::RunnerId;

namespace {

BackendServer server(const std::string &id, bool draining = false) {
  BackendServer it;
  it.Id = RunnerId(id);
  it.Draining = draining;
  return it;
}

TEST(ServerRegistryTest, removesAtOnceWhileTheStoreIsAvailable) {
  ServerRegistry registry;
  registry.put(server("a"));
  EXPECT_TRUE(registry.remove(RunnerId("a"), Millis(10)));
  EXPECT_EQ(registry.find(RunnerId("a")), nullptr);
}

TEST(ServerRegistryTest, defersRemovalsInAnOutageUntilRunnersCanReregister) {
  ServerRegistry registry;
  registry.put(server("back"));
  registry.put(server("lost"));
  registry.onStoreUnavailable();
  EXPECT_FALSE(registry.remove(RunnerId("back"), Millis(5'000)));
  registry.onStoreAvailable(Millis(6'000));
  EXPECT_FALSE(registry.remove(RunnerId("lost"), Millis(6'100)));
  registry.put(server("back"));
  EXPECT_TRUE(registry
                  .tick(Millis(6'000) + ServerRegistry::ReregistrationPeriod -
                        Millis(1))
                  .empty());
  EXPECT_NE(registry.find(RunnerId("lost")), nullptr);
  EXPECT_EQ(registry.tick(Millis(6'000) + ServerRegistry::ReregistrationPeriod),
            std::vector{RunnerId("lost")});
  EXPECT_NE(registry.find(RunnerId("back")), nullptr);
  EXPECT_EQ(registry.find(RunnerId("lost")), nullptr);
}

TEST(ServerRegistryTest, removesADrainingRunnerAtOnceInAnOutage) {
  ServerRegistry registry;
  registry.put(server("a", true));
  registry.onStoreUnavailable();
  EXPECT_TRUE(registry.remove(RunnerId("a"), Millis(10)));
}

TEST(ServerRegistryTest, removesRunnersMissingFromAListing) {
  ServerRegistry registry;
  registry.put(server("a"));
  registry.put(server("b"));
  EXPECT_EQ(registry.replaceAll({server("b"), server("c")}, Millis(10)),
            std::vector{RunnerId("a")});
  EXPECT_EQ(registry.all().size(), 2U);
}

class RestoredRegistryTest : public testing::Test {
protected:
  static BackendServer entry(const std::string &id, std::uint64_t sequence,
                             bool draining = false) {
    BackendServer it = server(id, draining);
    it.StartedAt = Millis(1'700'000'000'000);
    it.Sequence = sequence;
    return it;
  }
  /// Simulates a restore of the store from a copy with these entries. Returns
  /// the runners that were removed at once.
  std::vector<RunnerId> restore(const std::vector<BackendServer> &copy,
                                Millis now) {
    Registry.onStoreAvailable(now);
    return Registry.replaceAll(Registry.reconcile(copy, true, now), now);
  }

  ServerRegistry Registry;
};

TEST_F(RestoredRegistryTest, keepsRunnerMissingFromTheCopyUntilItCanRegister) {
  Registry.put(entry("late", 1));
  EXPECT_TRUE(restore({}, Millis(100)).empty());
  EXPECT_TRUE(Registry.tick(Millis(2'000)).empty());
  EXPECT_NE(Registry.find(RunnerId("late")), nullptr);
  EXPECT_EQ(Registry.tick(Millis(2'300)), std::vector{RunnerId("late")});
}

TEST_F(RestoredRegistryTest, drainingRunnerKeepsDraining) {
  Registry.put(entry("a", 4, true));
  restore({entry("a", 2)}, Millis(100));
  EXPECT_TRUE(Registry.find(RunnerId("a"))->Draining);
}

TEST_F(RestoredRegistryTest, removesDrainingRunnerMissingFromTheCopy) {
  Registry.put(entry("a", 4, true));
  EXPECT_EQ(restore({}, Millis(100)), std::vector{RunnerId("a")});
}

TEST_F(RestoredRegistryTest, copyDoesNotBringBackRunnerThatLeft) {
  Registry.put(entry("a", 4, true));
  Registry.remove(RunnerId("a"), Millis(50));
  restore({entry("a", 2)}, Millis(100));
  EXPECT_EQ(Registry.find(RunnerId("a")), nullptr);
  Registry.remove(RunnerId("a"), Millis(3'000));
  EXPECT_TRUE(Registry.takeConfirmed(Millis(60'000)).empty());
}

TEST_F(RestoredRegistryTest, runnerThatIsAliveAfterAllReturns) {
  Registry.put(entry("a", 4));
  Registry.remove(RunnerId("a"), Millis(50));
  restore({entry("a", 4)}, Millis(100));
  EXPECT_TRUE(Registry.takeConfirmed(Millis(5'000)).empty());
  const auto confirmed = Registry.takeConfirmed(Millis(6'200));
  ASSERT_EQ(confirmed.size(), 1U);
  EXPECT_EQ(confirmed.front().Id, RunnerId("a"));
  EXPECT_TRUE(Registry.takeConfirmed(Millis(6'300)).empty());
}

TEST_F(RestoredRegistryTest, laterEntryReplacesHeldOne) {
  Registry.put(entry("a", 4));
  Registry.remove(RunnerId("a"), Millis(50));
  restore({entry("a", 3)}, Millis(100));
  Registry.put(entry("a", 5));
  EXPECT_NE(Registry.find(RunnerId("a")), nullptr);
  EXPECT_TRUE(Registry.takeConfirmed(Millis(60'000)).empty());
}

TEST_F(RestoredRegistryTest, listingWithoutRestoreIsTakenAsItIs) {
  Registry.put(entry("a", 4, true));
  Registry.remove(RunnerId("a"), Millis(50));
  const std::vector<BackendServer> listed{entry("a", 2)};
  EXPECT_EQ(Registry.reconcile(listed, false, Millis(100)), listed);
}

// The store's entry may say for seconds that the runner is available.
TEST(ServerRegistryTest, runnerThatAnnouncedItsShutdownStaysDraining) {
  ServerRegistry registry;
  BackendServer entry = server("a");
  entry.StartedAt = Millis(50);
  registry.put(entry);
  EXPECT_TRUE(registry.onLeaving(entry.Id, Millis(50), Millis(1'000)));
  EXPECT_FALSE(registry.onLeaving(entry.Id, Millis(50), Millis(1'001)));
  EXPECT_TRUE(registry.find(entry.Id)->Draining);
  registry.put(entry);
  EXPECT_TRUE(registry.find(entry.Id)->Draining);
  registry.replaceAll({entry}, Millis(2'000));
  EXPECT_TRUE(registry.find(entry.Id)->Draining);
  registry.remove(entry.Id, Millis(3'000));
  registry.onStoreAvailable(Millis(3'500));
  registry.replaceAll(registry.reconcile({entry}, true, Millis(3'600)),
                      Millis(3'600));
  for (const BackendServer &it :
       registry.takeConfirmed(Millis(3'600) + ServerRegistry::HeldEntryPeriod))
    registry.put(it);
  ASSERT_NE(registry.find(entry.Id), nullptr);
  EXPECT_TRUE(registry.find(entry.Id)->Draining);
}

TEST(ServerRegistryTest, restartUnderTheSameIdEndsTheAnnouncement) {
  ServerRegistry registry;
  BackendServer entry = server("a");
  entry.StartedAt = Millis(50);
  registry.put(entry);
  registry.onLeaving(entry.Id, Millis(50), Millis(1'000));
  entry.StartedAt = Millis(90);
  registry.put(entry);
  EXPECT_FALSE(registry.find(entry.Id)->Draining);
  registry.onLeaving(entry.Id, Millis(50), Millis(1'100));
  EXPECT_FALSE(registry.find(entry.Id)->Draining)
      << "a late response of the earlier incarnation";
}

} // namespace
