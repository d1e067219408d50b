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
  registry.put(server("gone"));
  registry.onStoreUnavailable();
  EXPECT_FALSE(registry.remove(RunnerId("back"), Millis(5'000)));
  registry.onStoreAvailable(Millis(6'000));
  EXPECT_FALSE(registry.remove(RunnerId("gone"), Millis(6'100)));
  registry.put(server("back"));
  EXPECT_TRUE(registry
                  .tick(Millis(6'000) + ServerRegistry::ReregistrationPeriod -
                        Millis(1))
                  .empty());
  EXPECT_NE(registry.find(RunnerId("gone")), nullptr);
  EXPECT_EQ(registry.tick(Millis(6'000) + ServerRegistry::ReregistrationPeriod),
            std::vector{RunnerId("gone")});
  EXPECT_NE(registry.find(RunnerId("back")), nullptr);
  EXPECT_EQ(registry.find(RunnerId("gone")), nullptr);
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

} // namespace
