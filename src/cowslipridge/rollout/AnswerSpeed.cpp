#include "cowslipridge/rollout/AnswerSpeed.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

namespace cowslipridge::rollout {

namespace {

// Other requests make a stream slower, never faster. So the fastest streams of
// a version show its speed whatever the load, and a version of the same speed
// has as many of them at the same load.

/// Minimum number of streams of the stable version for a comparison.
constexpr std::uint64_t MinStableStreams = 30;
/// Share of the streams of the stable version that count as its fastest.
constexpr double FastestShare = 0.03;
/// Buckets beyond the slowest of these that still count as fast, as runners of
/// one version differ in speed. The fewest tell a version apart that is hardly
/// slower (from a factor of 1.3), the most need the fewest streams.
constexpr std::array<std::size_t, 3> FastMargins = {2, 3, 4};
/// A version on trial is slower if it has less than this part of the fast
/// streams that are expected.
constexpr double MinFastPart = 0.3;
/// Accepted probability that a version of the same speed has so few.
constexpr double FalseAlarmProbability = 1e-2;
/// A version is as fast if it has at least this part of the expected fast
/// streams, and this many are expected.
constexpr double AsFastPart = 0.5;
constexpr double MinExpectedFast = 3;
/// Margin in buckets with which a version is called as fast.
constexpr std::size_t AsFastMargin = FastMargins[1];

/// Minimum number of plain answers of the stable version for a comparison.
constexpr std::uint64_t MinStableAnswers = 12;
/// Plain answers are slow if they take twice the median of the stable
/// version's, which a disturbance of some of its runners hardly changes.
constexpr double Median = 0.5;
constexpr std::size_t SlowMargin = IntervalHistogram::BucketsPerDoubling;

double share(std::uint64_t part, std::uint64_t total) {
  return total == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(total);
}

// Returns the answers of the stable version at the load of this class, and at
// more load if there are too few of them; nothing if there are too few still.
std::optional<IntervalHistogram> comparableTo(const IntervalsByLoad &stable,
                                              std::size_t loadClass,
                                              std::uint64_t minimum) {
  IntervalHistogram answers;
  for (std::size_t n = loadClass; n < IntervalsByLoad::ClassCount; ++n) {
    answers += stable.ofClass(n);
    if (answers.total() >= minimum)
      return answers;
  }
  return std::nullopt;
}

// Returns the number of fast streams that a version of the same speed has in as
// many streams, at the same load, as the version on trial.
double expectedFast(const IntervalsByLoad &trial, const IntervalsByLoad &stable,
                    std::size_t slowestFast) {
  double expected = 0;
  for (std::size_t n = 0; n < IntervalsByLoad::ClassCount; ++n) {
    const auto comparable = comparableTo(stable, n, MinStableStreams);
    if (!comparable)
      break;
    expected += static_cast<double>(trial.ofClass(n).total()) *
                share(comparable->countUpTo(slowestFast), comparable->total());
  }
  return expected;
}

// Returns the probability that a Poisson variable is at most `hits`. It bounds
// that of a sum of independent events with the same mean, if `hits` is below
// the mean by one or more.
double lowerTailBound(std::uint64_t hits, double expected) {
  double term = std::exp(-expected);
  double sum = term;
  for (std::uint64_t n = 1; n <= hits; ++n) {
    term *= expected / static_cast<double>(n);
    sum += term;
  }
  return sum;
}

bool hasFewerFastStreams(const IntervalsByLoad &trial,
                         const IntervalsByLoad &stable,
                         std::size_t slowestFast) {
  const double expected = expectedFast(trial, stable, slowestFast);
  const std::uint64_t fast = trial.sum().countUpTo(slowestFast);
  return static_cast<double>(fast) < MinFastPart * expected &&
         lowerTailBound(fast, expected) < FalseAlarmProbability;
}

} // namespace

bool hasComparableStreams(const IntervalsByLoad &stable) {
  return stable.sum().total() >= MinStableStreams;
}

bool streamsSlower(const IntervalsByLoad &trial,
                   const IntervalsByLoad &stable) {
  if (!hasComparableStreams(stable))
    return false;
  const std::size_t fastest = stable.sum().quantileBucket(FastestShare);
  return std::any_of(FastMargins.begin(), FastMargins.end(),
                     [&](std::size_t it) {
                       return hasFewerFastStreams(trial, stable, fastest + it);
                     });
}

bool streamsAsFast(const IntervalsByLoad &trial,
                   const IntervalsByLoad &stable) {
  if (!hasComparableStreams(stable))
    return false;
  const std::size_t slowestFast =
      stable.sum().quantileBucket(FastestShare) + AsFastMargin;
  const double expected = expectedFast(trial, stable, slowestFast);
  const auto fast = static_cast<double>(trial.sum().countUpTo(slowestFast));
  return expected >= MinExpectedFast && fast >= AsFastPart * expected;
}

RatedAnswers rate(const IntervalsByLoad &answers,
                  const IntervalsByLoad &stable) {
  RatedAnswers rated;
  for (std::size_t n = 0; n < IntervalsByLoad::ClassCount; ++n) {
    const std::uint64_t total = answers.ofClass(n).total();
    if (total == 0)
      continue;
    const auto comparable = comparableTo(stable, n, MinStableAnswers);
    if (!comparable)
      break;
    const std::size_t usual = comparable->quantileBucket(Median) + SlowMargin;
    rated.Rated += total;
    rated.Slow += total - answers.ofClass(n).countUpTo(usual);
  }
  return rated;
}

} // namespace cowslipridge::rollout
