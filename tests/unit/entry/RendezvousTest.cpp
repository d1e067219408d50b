#include "cowslipridge/entry/Rendezvous.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

using namespace cowslipridge;
using namespace cowslipridge::entry;

namespace {

const core::VersionId Small("small@3");

std::vector<route::RunnerView> makeRunners(int count) {
  std::vector<route::RunnerView> runners;
  for (int n = 0; n < count; ++n) {
    route::RunnerView view;
    view.Runner = core::RunnerId("runner-" + std::to_string(n));
    view.Versions = {Small};
    runners.push_back(view);
  }
  return runners;
}

TEST(Rendezvous, everyEntryChoosesTheSameRunner) {
  auto runners = makeRunners(8);
  const auto one = chooseByKey("k-1", Small, runners, {});
  std::reverse(runners.begin(), runners.end());
  EXPECT_EQ(chooseByKey("k-1", Small, runners, {}), one);
}

TEST(Rendezvous, distributesKeysOverRunners) {
  const auto runners = makeRunners(4);
  std::map<core::RunnerId, int> counts;
  for (int n = 0; n < 400; ++n)
    ++counts[*chooseByKey("k-" + std::to_string(n), Small, runners, {})];
  for (const auto &[runner, count] : counts)
    EXPECT_GT(count, 60) << runner.str();
}

TEST(Rendezvous, skipsUnavailableAndExcludedRunners) {
  auto runners = makeRunners(3);
  runners[0].Draining = true;
  runners[1].SuspectedFailed = true;
  EXPECT_EQ(chooseByKey("k-1", Small, runners, {}), runners[2].Runner);
  EXPECT_EQ(chooseByKey("k-1", Small, runners, {runners[2].Runner}),
            std::nullopt);
}

} // namespace
