#include "cowslipridge/route/RunnerChooser.hpp"
#include "support/PropertyChecks.hpp"

#include <algorithm>

using namespace cowslipridge;
using namespace cowslipridge::route;

namespace {

constexpr int GeneratedSequences = 10'000;
constexpr int RequestsPerSequence = 15;

core::VersionId drawVersion(core::Random &random) {
  return core::VersionId("v" + std::to_string(core::uniformIndex(random, 3)));
}

std::vector<RunnerView> drawRunners(core::Random &random) {
  std::vector<RunnerView> runners(core::uniformIndex(random, 8));
  for (std::size_t n = 0; n < runners.size(); ++n) {
    RunnerView &view = runners[n];
    view.Runner = core::RunnerId("r" + std::to_string(n));
    view.Versions = {drawVersion(random), drawVersion(random)};
    view.InFlight = static_cast<unsigned>(core::uniformIndex(random, 40));
    view.SentSinceReport = static_cast<unsigned>(core::uniformIndex(random, 4));
    view.ReportReceivedAt = core::Millis(
        static_cast<std::int64_t>(core::uniformIndex(random, 5000)));
    view.Draining = core::uniform(random) < 0.3;
    view.SuspectedFailed = core::uniform(random) < 0.3;
  }
  return runners;
}

RequestContext drawRequest(core::Random &random) {
  RequestContext request;
  request.PromptTokens = core::uniformIndex(random, 5000);
  const std::size_t blocks = core::uniformIndex(random, 5);
  for (std::size_t n = 0; n < blocks; ++n)
    request.PrefixHashes.push_back(core::uniformIndex(random, 20));
  return request;
}

bool isEligible(const RunnerView &view, const core::VersionId &version,
                const std::vector<core::RunnerId> &excluded) {
  return !view.Draining &&
         std::count(view.Versions.begin(), view.Versions.end(), version) > 0 &&
         std::count(excluded.begin(), excluded.end(), view.Runner) == 0;
}

void checkChoice(const std::optional<core::RunnerId> &choice,
                 const core::VersionId &version,
                 const std::vector<RunnerView> &runners,
                 const std::vector<core::RunnerId> &excluded) {
  const auto eligible = [&](const RunnerView &view) {
    return isEligible(view, version, excluded);
  };
  const bool someEligible =
      std::any_of(runners.begin(), runners.end(), eligible);
  RC_ASSERT(choice.has_value() == someEligible);
  if (!choice)
    return;
  const auto chosen =
      std::find_if(runners.begin(), runners.end(),
                   [&](const auto &view) { return view.Runner == *choice; });
  RC_ASSERT(chosen != runners.end());
  RC_ASSERT(eligible(*chosen));
  const bool healthyExists =
      std::any_of(runners.begin(), runners.end(), [&](const auto &view) {
        return eligible(view) && !view.SuspectedFailed;
      });
  RC_ASSERT(!(chosen->SuspectedFailed && healthyExists));
}

TEST(RunnerChooserProperties, choosesOnlyEligibleRunners) {
  support::expectHolds(GeneratedSequences, [](std::uint64_t seed) {
    core::Random random(seed);
    RunnerChooser chooser(seed);
    for (int n = 0; n < RequestsPerSequence; ++n) {
      const auto runners = drawRunners(random);
      const auto request = drawRequest(random);
      const auto version = drawVersion(random);
      std::vector<core::RunnerId> excluded;
      if (core::uniform(random) < 0.5)
        excluded.emplace_back("r0");
      const core::Millis now(500LL * n);
      const auto choice =
          chooser.choose(request, version, runners, excluded, now);
      checkChoice(choice, version, runners, excluded);
      if (!choice)
        continue;
      chooser.observe(
          AnswerObservation{*choice, request.PrefixHashes, request.PromptTokens,
                            core::uniformIndex(random, 6000),
                            core::Millis(static_cast<std::int64_t>(
                                core::uniformIndex(random, 60'000))),
                            core::uniform(random) < 0.1},
          now);
      chooser.observe(CacheEvent{*choice, core::uniformIndex(random, 20),
                                 core::uniform(random) < 0.5});
      if (core::uniform(random) < 0.1)
        chooser.removeRunner(*choice);
    }
  });
}

} // namespace
