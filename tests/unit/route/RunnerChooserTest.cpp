#include "cowslipridge/route/RunnerChooser.hpp"

#include <gtest/gtest.h>
#include <map>

using namespace cowslipridge;
using namespace cowslipridge::route;

namespace {

const core::VersionId Version("fit@1");

std::vector<RunnerView> makeRunners(int count) {
  std::vector<RunnerView> runners;
  for (int n = 0; n < count; ++n) {
    RunnerView view;
    view.Runner = core::RunnerId("r" + std::to_string(n));
    view.Versions = {Version};
    view.ConcurrencyLimit = 8;
    runners.push_back(view);
  }
  return runners;
}

RequestContext makePrompt(std::uint64_t family) {
  RequestContext request;
  request.PromptTokens = 4000;
  for (std::uint64_t n = 1; n <= 10; ++n)
    request.PrefixHashes.push_back(family * 1000 + n);
  return request;
}

TEST(RunnerChooser, choosesTheSameRunnerForASharedPrompt) {
  RunnerChooser chooser(1);
  const auto runners = makeRunners(8);
  const auto first = chooser.choose(makePrompt(1), Version, runners, {}, {});
  for (int n = 0; n < 50; ++n)
    EXPECT_EQ(chooser.choose(makePrompt(1), Version, runners, {}, {}), first);
}

TEST(RunnerChooser, independentEntriesAgreeOnANewPrompt) {
  RunnerChooser a(1);
  RunnerChooser b(2);
  const auto runners = makeRunners(8);
  int agreed = 0;
  for (std::uint64_t family = 0; family < 50; ++family) {
    const auto prompt = makePrompt(family);
    agreed += a.choose(prompt, Version, runners, {}, {}) ==
              b.choose(prompt, Version, runners, {}, {});
  }
  EXPECT_GT(agreed, 40);
}

TEST(RunnerChooser, choosesAnotherRunnerWhenTheCacheHolderIsOverloaded) {
  RunnerChooser chooser(1);
  auto runners = makeRunners(8);
  const auto first = chooser.choose(makePrompt(1), Version, runners, {}, {});
  for (RunnerView &view : runners) {
    if (view.Runner == *first) {
      view.Queued = 60;
      view.PredictedWait = core::Millis(20'000);
    }
  }
  EXPECT_NE(chooser.choose(makePrompt(1), Version, runners, {}, {}), first);
}

TEST(RunnerChooser, avoidsASlowRunner) {
  RunnerChooser chooser(1);
  const auto runners = makeRunners(4);
  for (int n = 0; n < 40; ++n) {
    for (const RunnerView &view : runners) {
      const bool slow = view.Runner == core::RunnerId("r2");
      chooser.observe(
          AnswerObservation{
              view.Runner, {}, 1000, 0, core::Millis(slow ? 2000 : 200)},
          core::Millis(10LL * n));
    }
  }
  RequestContext request;
  request.PromptTokens = 1000;
  std::map<core::RunnerId, int> chosen;
  for (int n = 0; n < 400; ++n)
    ++chosen[*chooser.choose(request, Version, runners, {}, core::Millis(400))];
  EXPECT_LT(chosen[core::RunnerId("r2")], 40);
}

TEST(RunnerChooser, avoidsARunnerWithStaleReports) {
  RunnerChooser chooser(1);
  auto runners = makeRunners(3);
  const core::Millis now(10'000);
  for (RunnerView &view : runners)
    view.ReportReceivedAt = now;
  runners[0].ReportReceivedAt = core::Millis(5'000);
  runners[0].SentSinceReport = 1;
  int chosen = 0;
  for (int n = 0; n < 300; ++n)
    chosen +=
        *chooser.choose({}, Version, runners, {}, now) == runners[0].Runner;
  EXPECT_LT(chosen, 60);
}

} // namespace
