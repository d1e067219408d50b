#include "support/AdmissionSimulation.hpp"

#include <gtest/gtest.h>

#include <iostream>

using namespace cowslipridge;
using support::AdmissionSimulation;
using support::LoadKind;
using support::LoadPlan;
using support::LoadResult;

namespace {

/// Several runs, as one has only a dozen prompts of the largest sizes.
constexpr std::uint64_t Seeds = 8;
// Bounds of docs/design/scarce-capacity.md, part C.
constexpr double MaxServedInversion = 0.05;
constexpr double MaxValueInversion = 0.15;
constexpr double MinServedOfAll = 0.25;
constexpr double MinServedOfKind = 0.5;

/// The sum of several runs of a plan.
class Loads {
public:
  explicit Loads(const LoadPlan &plan) {
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      Runs.emplace_back(plan, seed);
      Runs.back().run();
      EXPECT_LE(Runs.back().longestHold(), 0.5);
      EXPECT_EQ(Runs.back().held(), 0U);
      Rejections += Runs.back().rejections();
    }
  }

  template <typename Condition>
  [[nodiscard]] LoadResult resultWhere(Condition condition) const {
    LoadResult sum;
    for (const AdmissionSimulation &it : Runs)
      sum += it.resultWhere(condition);
    return sum;
  }
  [[nodiscard]] LoadResult of(const std::string &name) const {
    return resultWhere(
        [&](const LoadKind &it, auto) { return it.Name == name; });
  }
  [[nodiscard]] LoadResult all() const {
    return resultWhere([](const auto &, auto) { return true; });
  }
  [[nodiscard]] unsigned rejections() const { return Rejections; }

private:
  std::vector<AdmissionSimulation> Runs;
  unsigned Rejections = 0;
};

void print(const Loads &load, const std::string &name) {
  const LoadResult result = load.of(name);
  std::cout << name << ": " << result.Arrived << " arrived, served "
            << result.served() << ", in time " << result.inTime() << "\n";
}

void expectOrderOfRanks(const Loads &load) {
  const std::vector<LoadKind> kinds = support::usualKinds();
  for (std::size_t n = 0; n < kinds.size(); ++n) {
    print(load, kinds[n].Name);
    const LoadResult own = load.of(kinds[n].Name);
    EXPECT_GE(own.served(), MinServedOfAll * load.all().served());
    // The largest tenth, and the fifth below it.
    const auto span = static_cast<double>(kinds[n].MaxWork - kinds[n].MinWork);
    const auto bound = [&](double part) {
      return kinds[n].MinWork + static_cast<std::int64_t>(part * span);
    };
    for (const auto &[from, to] : {std::pair(0.9, 1.0), std::pair(0.7, 0.9)}) {
      const LoadResult largest =
          load.resultWhere([&, first = bound(from), last = bound(to)](
                               const LoadKind &it, std::int64_t work) {
            return it.Name == kinds[n].Name && work >= first && work < last;
          });
      EXPECT_GE(largest.served(), MinServedOfKind * own.served());
    }
    for (std::size_t other = n + 1; other < kinds.size(); ++other) {
      const LoadResult less = load.of(kinds[other].Name);
      EXPECT_GE(own.served(), less.served() - MaxServedInversion);
      EXPECT_GE(own.inTime(), less.inTime() - MaxValueInversion);
    }
  }
}

TEST(AdmissionLoadTest, burstOfLongPromptsOverShortOnes) {
  LoadPlan plan;
  plan.Kinds = support::usualKinds();
  plan.Kinds[2].BurstFactor = 4;
  const Loads load(plan);
  expectOrderOfRanks(load);
  plan.Order = false;
  const Loads arrivalOrder(plan);
  print(arrivalOrder, "short");
  EXPECT_GT(load.of("short").inTime(), 2 * arrivalOrder.of("short").inTime());
}

TEST(AdmissionLoadTest, lossOfTwoFifthsOfTheRunners) {
  LoadPlan plan;
  plan.Kinds = support::usualKinds();
  plan.RunnersInBurst = 6;
  const Loads load(plan);
  expectOrderOfRanks(load);
}

TEST(AdmissionLoadTest, oneOrganisationAtSevenTimesItsUsualLoad) {
  LoadPlan plan;
  for (const char *name : {"a", "b", "c", "d", "e"})
    plan.Kinds.push_back(
        {name, 1, 2'000, 8'000, 200, 700, 3, 1, std::string(name)});
  plan.Kinds.front().BurstFactor = 7;
  const Loads load(plan);
  for (const char *name : {"a", "b", "c", "d", "e"}) {
    print(load, name);
    EXPECT_GE(load.of(name).served(), MinServedOfAll * load.all().served());
  }
  for (const char *name : {"b", "c", "d", "e"})
    EXPECT_GT(load.of(name).inTime(), load.of("a").inTime());
}

TEST(AdmissionLoadTest, callersThatIgnoreRetryAfter) {
  LoadPlan plan;
  plan.Kinds = support::usualKinds();
  plan.RunnersInBurst = 4;
  plan.ObeysRetryAfter = false;
  const Loads load(plan);
  EXPECT_GT(load.rejections(), 0U);
  expectOrderOfRanks(load);
}

} // namespace
