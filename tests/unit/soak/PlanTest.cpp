#include "soak/Plan.hpp"

#include <gtest/gtest.h>

#include <set>

using namespace cowslipridge;
using namespace cowslipridge::soak;

namespace {

PlanSettings settingsFor(std::uint64_t seed) {
  PlanSettings settings;
  settings.Seed = seed;
  settings.Gateways = 3;
  settings.Runners = 6;
  settings.Links = 12;
  settings.CrowdKinds = 2;
  settings.ServiceFaults = true;
  return settings;
}

std::string planText(std::uint64_t seed) {
  std::string text;
  for (const PlannedFault &it : makePlan(settingsFor(seed)))
    text += std::to_string(it.At.count()) + " " + describe(it.What) + "\n";
  return text;
}

TEST(PlanTest, sameSeedGivesTheSamePlan) {
  EXPECT_EQ(planText(7), planText(7));
  EXPECT_NE(planText(7), planText(8));
}

TEST(PlanTest, drawsEveryKindOfFaultInOrder) {
  std::set<std::size_t> kinds;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    core::Millis last;
    for (const PlannedFault &it : makePlan(settingsFor(seed))) {
      EXPECT_GE(it.At, last);
      EXPECT_GT(lengthOf(it.What), core::Millis());
      last = it.At;
      kinds.insert(it.What.index());
    }
  }
  EXPECT_EQ(kinds.size(), std::variant_size_v<Fault>);
}

// Seeds of the time before there were crowds keep their plans.
TEST(PlanTest, drawsNoMisbehaviorOfCallersWithoutCrowds) {
  PlanSettings settings = settingsFor(20);
  settings.CrowdKinds = 0;
  for (const PlannedFault &it : makePlan(settings)) {
    EXPECT_FALSE(std::holds_alternative<CallerCrowd>(it.What));
    EXPECT_FALSE(std::holds_alternative<RunnerReplacement>(it.What));
  }
}

TEST(PlanTest, drawsFaultsOfWholeServicesOnlyIfAsked) {
  PlanSettings settings = settingsFor(20);
  settings.ServiceFaults = false;
  for (const PlannedFault &it : makePlan(settings)) {
    EXPECT_FALSE(std::holds_alternative<ServiceDeviation>(it.What));
    EXPECT_FALSE(std::holds_alternative<ServicePause>(it.What));
  }
}

} // namespace
