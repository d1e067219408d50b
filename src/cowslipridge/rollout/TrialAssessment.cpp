#include "cowslipridge/rollout/TrialAssessment.hpp"

#include "cowslipridge/rollout/AnswerSpeed.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string_view>

namespace cowslipridge::rollout {

namespace {

/// Span of time within which answers are compared.
constexpr core::Millis WindowLength{500};

enum Test : std::size_t { Failures, Breaks, SlowAnswers };
constexpr std::array<std::string_view, 3> TestNames = {
    "fails more", "breaks off more", "answers more slowly"};
// Runners that crash break many answers at once, so that breaks need more
// evidence.
constexpr std::array<ComparisonLimits, 3> Limits = {
    {{0.3, 8, 3}, {0.6, 16, 8}, {0.3, 8, 4}}};

/// Evidence against a version from which it is suspected to be worse.
constexpr double SuspicionScore = 4;
/// Evidence that shows a version to be sound over all routes: about this many
/// good answers times 0.36.
constexpr double SoundScore = 3.5;
/// The same for each route with a notable part of the answers.
constexpr double RouteSoundScore = 1;
constexpr double NotablePart = 0.1;

/// Minimum number of timed streams for a comparison of first tokens.
constexpr std::uint64_t MinTimed = 6;
/// Mean slowdown relative to the stable version that load does not explain, as
/// a factor.
constexpr double SlownessFactor = 2.2;
/// Standard deviation of the logarithm of a single slowdown, and by how many
/// standard errors the mean must exceed the factor.
constexpr double LogSpread = 0.8;
constexpr double StandardErrors = 2.5;

double meanLog(const AnswerCounts &counts) {
  return counts.Timed == 0
             ? 0
             : counts.LogSlowness / static_cast<double>(counts.Timed);
}

bool beginsLater(const AnswerCounts &trial, const AnswerCounts &stable) {
  if (trial.Timed < MinTimed)
    return false;
  const double spread = LogSpread / std::sqrt(static_cast<double>(trial.Timed));
  return meanLog(trial) - meanLog(stable) >
         std::log(SlownessFactor) + StandardErrors * spread;
}

std::optional<std::string> findSlowStreams(const AnswerCounts &trial,
                                           const AnswerCounts &stable) {
  if (beginsLater(trial, stable))
    return "begins its streams later";
  if (streamsSlower(trial.Intervals, stable.Intervals))
    return "streams more slowly";
  return std::nullopt;
}

std::string rounded(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", value);
  return text.data();
}

std::string describe(const AnswerCounts &counts) {
  return "sent:" + std::to_string(counts.Sent) +
         ",judged:" + std::to_string(counts.Judged) +
         ",failed:" + std::to_string(counts.Failed) +
         ",broken:" + std::to_string(counts.Broken) +
         ",streams:" + std::to_string(counts.Intervals.sum().total()) +
         ",plain:" + std::to_string(counts.Durations.sum().total());
}

} // namespace

TrialAssessment::Scores TrialAssessment::makeScores() {
  return {ComparisonScore(Limits[Failures]), ComparisonScore(Limits[Breaks]),
          ComparisonScore(Limits[SlowAnswers])};
}

void TrialAssessment::add(const RouteEvidenceKey &key,
                          const AnswerCounts &added, core::Millis now) {
  if (now - WindowStartedAt >= WindowLength) {
    endWindow();
    WindowStartedAt = now;
  }
  RouteState &route = Routes[key.Route];
  const bool isTarget = key.Version == Target;
  (isTarget ? route.Trial : route.Stable) += added;
  const auto count = [&](Test test, std::uint64_t answers, std::uint64_t bad) {
    route.Window.at(test) += isTarget ? PairedCounts{answers, bad, 0, 0}
                                      : PairedCounts{0, 0, answers, bad};
  };
  count(Failures, added.Judged, added.Failed);
  count(Breaks, added.Judged, added.Broken);
  const RatedAnswers rated = rate(added.Durations, route.Stable.Durations);
  count(SlowAnswers, rated.Rated, rated.Slow);
}

double TrialAssessment::ratioOf(const RouteState &route, std::size_t test) {
  const PairedCounts &window = route.Window.at(test);
  return logRatio(window, route.Shares.at(test).estimate(window),
                  Limits.at(test).Difference);
}

void TrialAssessment::endWindow() {
  const Assessment assessment = assess();
  AllRoutes = assessment.All;
  for (auto &[name, route] : Routes) {
    route.Score = assessment.Routes.at(name);
    for (std::size_t test = 0; test < TestCount; ++test)
      route.Shares.at(test).onWindowEnded(route.Window.at(test));
    route.Window = {};
  }
}

TrialAssessment::Assessment TrialAssessment::assess() const {
  Assessment assessment{AllRoutes, {}};
  for (std::size_t test = 0; test < TestCount; ++test) {
    double ratio = 0;
    std::uint64_t bad = 0;
    for (const auto &[name, route] : Routes) {
      const double own = ratioOf(route, test);
      Scores &scores =
          assessment.Routes.try_emplace(name, route.Score).first->second;
      scores.at(test).add(own, route.Window.at(test).TrialBad);
      ratio += own;
      bad += route.Window.at(test).TrialBad;
    }
    assessment.All.at(test).add(ratio, bad);
  }
  return assessment;
}

AnswerCounts TrialAssessment::sumOf(AnswerCounts RouteState::*version) const {
  AnswerCounts sum;
  for (const auto &[name, route] : Routes)
    sum += route.*version;
  return sum;
}

// A version may be bad on a single route.
std::optional<std::string>
TrialAssessment::findWorse(const Assessment &assessment) const {
  for (std::size_t test = 0; test < TestCount; ++test) {
    if (assessment.All.at(test).isWorse())
      return std::string(TestNames.at(test));
    for (const auto &[name, scores] : assessment.Routes) {
      if (scores.at(test).isWorse())
        return std::string(TestNames.at(test)) + " on route " + name;
    }
  }
  if (auto slow = findSlowStreams(sumOf(&RouteState::Trial),
                                  sumOf(&RouteState::Stable)))
    return slow;
  for (const auto &[name, route] : Routes) {
    if (const auto slow = findSlowStreams(route.Trial, route.Stable))
      return *slow + " on route " + name;
  }
  return std::nullopt;
}

bool TrialAssessment::isSuspected(const Assessment &assessment) {
  return std::any_of(
      assessment.All.begin(), assessment.All.end(),
      [](const auto &it) { return it.against() >= SuspicionScore; });
}

// Returns the test in which these answers lack evidence for the version.
std::optional<std::string>
TrialAssessment::findLacking(const Scores &scores, const AnswerCounts &stable,
                             double score) {
  const bool isPlain = stable.Durations.sum().total() > 0;
  for (std::size_t test = 0; test < TestCount; ++test) {
    const bool isNeeded = test != SlowAnswers || isPlain;
    if (isNeeded && !scores.at(test).isSound(score))
      return "too few good answers to exclude that it " +
             std::string(TestNames.at(test)) + " (" +
             rounded(scores.at(test).inFavour()) + " of " + rounded(score) +
             ")";
  }
  return std::nullopt;
}

// Returns what is not known yet of the version; nothing if it is sound.
std::optional<std::string>
TrialAssessment::findMissing(const Assessment &assessment) const {
  const AnswerCounts trial = sumOf(&RouteState::Trial);
  const AnswerCounts stable = sumOf(&RouteState::Stable);
  if (auto lacking = findLacking(assessment.All, stable, SoundScore))
    return lacking;
  for (const auto &[name, route] : Routes) {
    const bool isNotable = static_cast<double>(route.Stable.Judged) >=
                           NotablePart * static_cast<double>(stable.Judged);
    if (!isNotable)
      continue;
    if (const auto lacking = findLacking(assessment.Routes.at(name),
                                         route.Stable, RouteSoundScore))
      return *lacking + " on route " + name;
  }
  if (hasComparableStreams(stable.Intervals) &&
      !streamsAsFast(trial.Intervals, stable.Intervals))
    return "too few fast streams";
  return std::nullopt;
}

TrialVerdict TrialAssessment::verdict() const {
  const Assessment assessment = assess();
  if (auto worse = findWorse(assessment))
    return {TrialFinding::Worse, std::move(*worse)};
  if (auto missing = findMissing(assessment))
    return {isSuspected(assessment) ? TrialFinding::Suspected
                                    : TrialFinding::Unknown,
            std::move(*missing)};
  return {TrialFinding::Sound, "serves as well as the stable version"};
}

TrialExposure TrialAssessment::exposure(core::Millis now) const {
  const std::uint64_t target = sumOf(&RouteState::Trial).Sent;
  return {target, target + sumOf(&RouteState::Stable).Sent, now - StartedAt};
}

std::string TrialAssessment::describe() const {
  const Assessment assessment = assess();
  std::string text = "target=" + rollout::describe(sumOf(&RouteState::Trial)) +
                     " stable=" + rollout::describe(sumOf(&RouteState::Stable));
  text += " scores=";
  for (std::size_t test = 0; test < TestCount; ++test) {
    const ComparisonScore &score = assessment.All.at(test);
    text += (test == 0 ? "" : ",") + rounded(score.against()) + "/" +
            rounded(score.inFavour());
  }
  return text;
}

} // namespace cowslipridge::rollout
