#include "cowslipridge/rollout/TrialEvidence.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

namespace cowslipridge::rollout {

namespace {

/// Minimum number of failures for a comparison; fewer may be due to isolated
/// faults of a runner.
constexpr std::uint64_t MinFailures = 3;
/// A version on trial fails too often if its share of failures exceeds the
/// share of the stable version times this factor plus this difference.
constexpr double FailureFactor = 2;
constexpr double FailureDifference = 0.1;
/// The same for answers that are broken off, as happens when runners crash.
constexpr std::uint64_t MinBroken = 8;
constexpr double BrokenFactor = 3;
constexpr double BrokenDifference = 0.3;
/// Minimum number of timed answers for a comparison.
constexpr std::uint64_t MinTimed = 6;
/// Mean slowdown relative to the stable version that load does not explain, as
/// a factor.
constexpr double SlownessFactor = 2.2;

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

double share(std::uint64_t part, std::uint64_t total) {
  return total == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(total);
}

double meanLog(const AnswerCounts &counts) {
  return counts.Timed == 0
             ? 0
             : counts.LogSlowness / static_cast<double>(counts.Timed);
}

bool failsMore(const AnswerCounts &trial, const AnswerCounts &stable) {
  return trial.Failed >= MinFailures &&
         share(trial.Failed, trial.Judged) >
             FailureFactor * share(stable.Failed, stable.Judged) +
                 FailureDifference;
}

bool breaksOffMore(const AnswerCounts &trial, const AnswerCounts &stable) {
  return trial.Broken >= MinBroken &&
         share(trial.Broken, trial.Judged) >
             BrokenFactor * share(stable.Broken, stable.Judged) +
                 BrokenDifference;
}

bool isSlower(const AnswerCounts &trial, const AnswerCounts &stable) {
  return trial.Timed >= MinTimed &&
         meanLog(trial) - meanLog(stable) > std::log(SlownessFactor);
}

// Returns the streams of the stable version at the load of this class, and at
// more load if there are too few of them; nothing if there are too few still.
std::optional<IntervalHistogram> comparableTo(const IntervalsByLoad &stable,
                                              std::size_t loadClass) {
  IntervalHistogram streams;
  for (std::size_t n = loadClass; n < IntervalsByLoad::ClassCount; ++n) {
    streams += stable.ofClass(n);
    if (streams.total() >= MinStableStreams)
      return streams;
  }
  return std::nullopt;
}

// Returns the number of fast streams that a version of the same speed has in as
// many streams, at the same load, as the version on trial.
double expectedFast(const IntervalsByLoad &trial, const IntervalsByLoad &stable,
                    std::size_t slowestFast) {
  double expected = 0;
  for (std::size_t n = 0; n < IntervalsByLoad::ClassCount; ++n) {
    const auto comparable = comparableTo(stable, n);
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

bool streamsSlower(const IntervalsByLoad &trial,
                   const IntervalsByLoad &stable) {
  const IntervalHistogram allStable = stable.sum();
  if (allStable.total() < MinStableStreams)
    return false;
  const std::size_t fastest = allStable.quantileBucket(FastestShare);
  return std::any_of(FastMargins.begin(), FastMargins.end(),
                     [&](std::size_t it) {
                       return hasFewerFastStreams(trial, stable, fastest + it);
                     });
}

} // namespace

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &other) {
  Sent += other.Sent;
  Judged += other.Judged;
  Failed += other.Failed;
  Broken += other.Broken;
  Timed += other.Timed;
  LogSlowness += other.LogSlowness;
  Intervals += other.Intervals;
  return *this;
}

bool isWorse(const AnswerCounts &trial, const AnswerCounts &stable) {
  return failsMore(trial, stable) || breaksOffMore(trial, stable) ||
         isSlower(trial, stable) ||
         streamsSlower(trial.Intervals, stable.Intervals);
}

std::map<core::VersionId, AnswerCounts>
sumByVersion(const RouteEvidenceTable &evidence,
             const core::ServiceId &service) {
  std::map<core::VersionId, AnswerCounts> sums;
  for (const auto &[key, counts] : evidence) {
    if (key.Service == service)
      sums[key.Version] += counts;
  }
  return sums;
}

} // namespace cowslipridge::rollout
