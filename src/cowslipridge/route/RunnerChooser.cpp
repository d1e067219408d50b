#include "cowslipridge/route/RunnerChooser.hpp"

#include "cowslipridge/route/FirstTokenModel.hpp"
#include "cowslipridge/route/PendingCalls.hpp"
#include "cowslipridge/route/PrefixIndex.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace cowslipridge::route {

namespace {

using Views = std::vector<const RunnerView *>;

/// Prompt blocks in the prefix index.
constexpr std::size_t MaxBlocks = 50'000;
/// A runner is not chosen for cache affinity if its outstanding requests exceed
/// the mean times the factor plus the slack.
constexpr double AffinityLoadFactor = 1.25;
constexpr double AffinityLoadSlack = 2;
/// A runner is skipped while its attempts since the last report exceed the mean
/// times this factor plus a share of the free slots.
constexpr double UnreportedLoadFactor = 1.25;
/// Share of the runners' mean free slots that one entry may fill at one runner
/// between two reports.
constexpr double HeadroomPerEntry = 0.35;
/// Runners that are compared by load, sampled at random from all eligible ones.
constexpr std::size_t MaxLoadChoices = 16;
/// Runners that are compared because they hold the longest prefix of the
/// prompt.
constexpr std::size_t MaxCacheHolders = 2;
/// Weight of a new observation in the moving average of a runner's slowness, on
/// the logarithm of actual over predicted time.
constexpr double SlownessGain = 0.2;
/// Bound of the slowness's absolute logarithm.
constexpr double MaxLogSlowness = 4;
/// Predictions that differ by less are a tie, which goes to the least recently
/// chosen runner.
constexpr double TieMillis = 5;
/// Time constant of the decay of a runner's slowness: its logarithm falls to
/// about a third in this time, so that a recovered runner is chosen again.
constexpr double SlownessDecayMillis = 20'000;
/// Age of a report, above the minimum age of all runners' reports, that doesn't
/// indicate a stalled runner yet.
constexpr core::Millis ReportAgeGrace{500};

double outstandingOf(const RunnerView &view) {
  return view.InFlight + view.Queued + view.SentSinceReport;
}

/// Returns the hash that identifies a call, or 0 if the prompt has no hashes.
std::uint64_t lastBlock(const std::vector<std::uint64_t> &prefix) {
  return prefix.empty() ? 0 : prefix.back();
}

bool serves(const RunnerView &view, const core::VersionId &version) {
  return std::find(view.Versions.begin(), view.Versions.end(), version) !=
         view.Versions.end();
}

/// Returns the runners that may receive the request. Runners suspected of
/// failure are included only if there is no other.
Views findEligible(const core::VersionId &version,
                   const std::vector<RunnerView> &runners,
                   const std::vector<core::RunnerId> &excluded) {
  Views healthy;
  Views suspected;
  for (const RunnerView &view : runners) {
    const bool wasTried = std::find(excluded.begin(), excluded.end(),
                                    view.Runner) != excluded.end();
    if (view.Draining || wasTried || !serves(view, version))
      continue;
    (view.SuspectedFailed ? suspected : healthy).push_back(&view);
  }
  return healthy.empty() ? suspected : healthy;
}

/// Combines two hashes with the finalizer of SplitMix64.
std::uint64_t mixHashes(std::uint64_t a, std::uint64_t b) {
  std::uint64_t mixed = a + 0x9e3779b97f4a7c15ULL * (b | 1);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

/// Returns the runner with the highest rendezvous weight for the prompt. All
/// entries choose it for a prompt that no runner holds.
const RunnerView *rendezvousRunner(const std::vector<std::uint64_t> &prefix,
                                   const Views &eligible) {
  const std::uint64_t key = prefix[prefix.size() / 2];
  const auto rank = [key](const RunnerView *view) {
    return mixHashes(std::hash<core::RunnerId>()(view->Runner), key);
  };
  return *std::max_element(
      eligible.begin(), eligible.end(),
      [&](const auto *a, const auto *b) { return rank(a) < rank(b); });
}

double meanOutstanding(const Views &eligible) {
  double sum = 0;
  for (const RunnerView *view : eligible)
    sum += outstandingOf(*view);
  return sum / static_cast<double>(eligible.size());
}

/// Returns the mean number of free slots per runner, as last reported.
double meanHeadroom(const Views &eligible) {
  double sum = 0;
  for (const RunnerView *view : eligible)
    sum += std::max(0.0, view->ConcurrencyLimit - outstandingOf(*view));
  return sum / static_cast<double>(eligible.size());
}

/// Returns the runners without those to which this entry has sent far more than
/// the mean since their last report. Never empty.
Views excludeOverused(const Views &eligible) {
  double sum = 0;
  for (const RunnerView *view : eligible)
    sum += view->SentSinceReport;
  const auto count = static_cast<double>(eligible.size());
  const double bound = UnreportedLoadFactor * sum / count +
                       meanHeadroom(eligible) * HeadroomPerEntry;
  Views remaining;
  std::copy_if(
      eligible.begin(), eligible.end(), std::back_inserter(remaining),
      [&](const RunnerView *view) { return view->SentSinceReport <= bound; });
  return remaining;
}

/// Returns the age of the most recent report of any runner. It is subtracted
/// from each runner's report age, because a delay of all reports doesn't
/// indicate that one runner has stalled.
core::Millis minReportAge(const Views &eligible, core::Millis now) {
  core::Millis least = now - eligible.front()->ReportReceivedAt;
  for (const RunnerView *view : eligible)
    least = std::min(least, now - view->ReportReceivedAt);
  return least;
}

} // namespace

class RunnerChooser::State {
public:
  explicit State(std::uint64_t seed) : Generator(seed) {}

  std::optional<core::RunnerId> choose(const RequestContext &request,
                                       const Views &eligible, core::Millis now);
  void observe(const AnswerObservation &answer, core::Millis now);

  PrefixIndex Prefixes{MaxBlocks};

  struct RunnerRecord {
    double LogSlowness = 0;
    core::Millis SlownessAt;
    PendingCalls Pending;
    std::uint64_t LastChoice = 0; ///< number of the last choice of this runner
  };
  std::map<core::RunnerId, RunnerRecord> Records;

private:
  Views drawCandidates(const RequestContext &request, const Views &eligible);
  void addCacheHolders(const RequestContext &request, const Views &eligible,
                       Views &candidates);
  FirstTokenFeatures featuresOf(const RequestContext &request,
                                const RunnerView &view) const;
  double predict(const RequestContext &request, const RunnerView &view,
                 core::Millis minAge, core::Millis now) const;
  double slowness(const core::RunnerId &runner, core::Millis now) const;
  double uncachedTokens(const RequestContext &request,
                        const core::RunnerId &runner) const;

  std::uint64_t lastChoiceOf(const RunnerView &view) const {
    const auto it = Records.find(view.Runner);
    return it == Records.end() ? 0 : it->second.LastChoice;
  }

  core::Random Generator;
  std::uint64_t ChoiceCount = 0;
  FirstTokenModel FirstToken;
};

double RunnerChooser::State::slowness(const core::RunnerId &runner,
                                      core::Millis now) const {
  const auto it = Records.find(runner);
  if (it == Records.end())
    return 1;
  const auto age = static_cast<double>((now - it->second.SlownessAt).count());
  return std::exp(it->second.LogSlowness *
                  std::exp(-age / SlownessDecayMillis));
}

double
RunnerChooser::State::uncachedTokens(const RequestContext &request,
                                     const core::RunnerId &runner) const {
  const auto tokens = static_cast<double>(request.PromptTokens);
  if (request.PrefixHashes.empty())
    return tokens;
  const auto matched =
      static_cast<double>(Prefixes.matchedBlocks(request.PrefixHashes, runner));
  const auto blocks = static_cast<double>(request.PrefixHashes.size());
  return tokens * (1 - matched / blocks);
}

FirstTokenFeatures
RunnerChooser::State::featuresOf(const RequestContext &request,
                                 const RunnerView &view) const {
  const auto it = Records.find(view.Runner);
  const double pending =
      it == Records.end() ? 0 : it->second.Pending.uncachedTokens();
  const double outstanding = outstandingOf(view);
  const double excessRequests =
      std::max(0.0, outstanding + 1 - view.ConcurrencyLimit);
  return {uncachedTokens(request, view.Runner), pending,
          outstanding - view.SentSinceReport,
          static_cast<double>(view.SentSinceReport), excessRequests};
}

double RunnerChooser::State::predict(const RequestContext &request,
                                     const RunnerView &view,
                                     core::Millis minAge,
                                     core::Millis now) const {
  const double base = FirstToken.predict(featuresOf(request, view));
  const auto wait = static_cast<double>(view.PredictedWait.count());
  double prediction = base * slowness(view.Runner, now) + wait;
  const core::Millis excessAge = now - view.ReportReceivedAt - minAge;
  if (view.SentSinceReport > 0 && excessAge > ReportAgeGrace)
    prediction += static_cast<double>(excessAge.count());
  return prediction;
}

void RunnerChooser::State::addCacheHolders(const RequestContext &request,
                                           const Views &eligible,
                                           Views &candidates) {
  const double bound =
      AffinityLoadFactor * meanOutstanding(eligible) + AffinityLoadSlack;
  std::vector<std::pair<std::size_t, const RunnerView *>> holders;
  for (const RunnerView *view : eligible) {
    const auto matched =
        Prefixes.matchedBlocks(request.PrefixHashes, view->Runner);
    if (matched > 0 && outstandingOf(*view) <= bound)
      holders.emplace_back(matched, view);
  }
  std::shuffle(holders.begin(), holders.end(), Generator);
  std::stable_sort(
      holders.begin(), holders.end(),
      [](const auto &a, const auto &b) { return a.first > b.first; });
  for (std::size_t n = 0; n < std::min(MaxCacheHolders, holders.size()); ++n)
    candidates.push_back(holders[n].second);
}

Views RunnerChooser::State::drawCandidates(const RequestContext &request,
                                           const Views &eligible) {
  Views candidates;
  if (!request.PrefixHashes.empty()) {
    addCacheHolders(request, eligible, candidates);
    candidates.push_back(rendezvousRunner(request.PrefixHashes, eligible));
  }
  std::sample(eligible.begin(), eligible.end(), std::back_inserter(candidates),
              MaxLoadChoices, Generator);
  return candidates;
}

std::optional<core::RunnerId>
RunnerChooser::State::choose(const RequestContext &request,
                             const Views &eligible, core::Millis now) {
  if (eligible.empty())
    return std::nullopt;
  for (auto &[runner, record] : Records)
    record.Pending.expire(now);
  const core::Millis minAge = minReportAge(eligible, now);
  const RunnerView *best = nullptr;
  double bestPrediction = 0;
  for (const RunnerView *view :
       drawCandidates(request, excludeOverused(eligible))) {
    const double prediction = predict(request, *view, minAge, now);
    const bool isTie =
        best != nullptr && std::abs(prediction - bestPrediction) < TieMillis;
    if (isTie ? lastChoiceOf(*view) < lastChoiceOf(*best)
              : best == nullptr || prediction < bestPrediction) {
      best = view;
      bestPrediction = prediction;
    }
  }
  Records[best->Runner].LastChoice = ++ChoiceCount;
  Records[best->Runner].Pending.add({request.PromptTokens,
                                     lastBlock(request.PrefixHashes), now,
                                     featuresOf(request, *best)});
  // The runner is expected to hold the prompt before a similar one arrives.
  for (const std::uint64_t block : request.PrefixHashes)
    Prefixes.insert(block, best->Runner);
  return best->Runner;
}

void RunnerChooser::State::observe(const AnswerObservation &answer,
                                   core::Millis now) {
  RunnerRecord &record = Records[answer.Runner];
  FirstTokenFeatures features = record.Pending.remove(
      answer.PromptTokens, lastBlock(answer.PrefixHashes));
  if (answer.Failed)
    return;
  features.UncachedTokens = static_cast<double>(
      answer.PromptTokens - std::min(answer.CachedTokens, answer.PromptTokens));
  const double elapsed =
      std::max(1.0, static_cast<double>(answer.TimeToFirstToken.count()));
  const double predicted = FirstToken.predict(features);
  const double known = std::log(slowness(answer.Runner, now));
  record.LogSlowness =
      std::clamp(known + SlownessGain * (std::log(elapsed / predicted) - known),
                 -MaxLogSlowness, MaxLogSlowness);
  record.SlownessAt = now;
  FirstToken.observe(features, elapsed);
  for (const std::uint64_t block : answer.PrefixHashes)
    Prefixes.insert(block, answer.Runner);
}

RunnerChooser::RunnerChooser(std::uint64_t seed)
    : Impl(std::make_unique<State>(seed)) {}

RunnerChooser::~RunnerChooser() = default;

std::optional<core::RunnerId> RunnerChooser::choose(
    const RequestContext &request, const core::VersionId &version,
    const std::vector<RunnerView> &runners,
    const std::vector<core::RunnerId> &excluded, core::Millis now) {
  return Impl->choose(request, findEligible(version, runners, excluded), now);
}

void RunnerChooser::observe(const AnswerObservation &answer, core::Millis now) {
  Impl->observe(answer, now);
}

void RunnerChooser::observe(const CacheEvent &event) {
  if (event.Evicted)
    Impl->Prefixes.erase(event.PrefixHash, event.Runner);
  else
    Impl->Prefixes.insert(event.PrefixHash, event.Runner);
}

void RunnerChooser::removeRunner(const core::RunnerId &runner) {
  Impl->Prefixes.eraseRunner(runner);
  Impl->Records.erase(runner);
}

} // namespace cowslipridge::route
