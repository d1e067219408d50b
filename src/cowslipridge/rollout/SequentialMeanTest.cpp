#include "cowslipridge/rollout/SequentialMeanTest.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace cowslipridge::rollout {

namespace {

constexpr double MicroPerUnit = 1e6;
/// Grades between two change points.
constexpr std::uint64_t GradesPerChangePoint = 8;
constexpr std::size_t MaxChangePoints = 48;

/// Stakes, as fractions of the smallest stake that can lose all wealth.
constexpr std::array<double, 6> Stakes = {0.1, 0.25, 0.4, 0.55, 0.7, 0.85};

/// Limits of the tested bound that keep the growth of bets finite.
constexpr double MinBound = 0.02;
constexpr double MaxBound = 0.98;

double logAdd(double a, double b) {
  const double high = std::max(a, b);
  if (high == -std::numeric_limits<double>::infinity())
    return high;
  return high + std::log1p(std::exp(std::min(a, b) - high));
}

/// Counts and sums of the grades since a change point, split at one half.
struct Span {
  double Low = 0;
  double LowSum = 0;
  double High = 0;
  double HighSum = 0;
};

Span spanOf(const GradeTotals &before, const GradeTotals &now) {
  const auto grades = static_cast<double>(now.Grades - before.Grades);
  const auto low = static_cast<double>(now.BadGrades - before.BadGrades);
  const double high = grades - low;
  const double sum = now.ScoreSum - before.ScoreSum;
  // For a source that does not report the sum of low scores, the smallest
  // possible sum is used.
  const double lowSum =
      std::max({0.0, sum - high, now.BadScoreSum - before.BadScoreSum});
  return {low, lowSum, high, sum - lowSum};
}

/// Log growth of the wealth for each stake at the scores 0, one half and 1.
class BetGrowth {
public:
  explicit BetGrowth(double bound) {
    for (std::size_t i = 0; i < Stakes.size(); ++i) {
      const double stake = Stakes[i] / (1 - bound);
      AtZero[i] = std::log1p(stake * bound);
      AtHalf[i] = std::log1p(stake * (bound - 0.5));
      AtOne[i] = std::log1p(stake * (bound - 1));
    }
  }

  // Returns the log of the mean wealth over all stakes.
  [[nodiscard]] double logMixture(const Span &span) const {
    std::array<double, Stakes.size()> logs{};
    for (std::size_t i = 0; i < logs.size(); ++i) {
      const double low =
          span.Low * AtZero[i] + 2 * span.LowSum * (AtHalf[i] - AtZero[i]);
      const double high =
          span.High * AtHalf[i] +
          std::max(0.0, 2 * span.HighSum - span.High) * (AtOne[i] - AtHalf[i]);
      logs[i] = low + high;
    }
    const double top = *std::max_element(logs.begin(), logs.end());
    double sum = 0;
    for (const double it : logs)
      sum += std::exp(it - top);
    return top + std::log(sum / static_cast<double>(logs.size()));
  }

private:
  std::array<double, Stakes.size()> AtZero{};
  std::array<double, Stakes.size()> AtHalf{};
  std::array<double, Stakes.size()> AtOne{};
};

// Returns the log weight of a change point. The first one has weight one half;
// the others decrease such that the sum of all weights stays below one for any
// number of change points.
double logWeight(unsigned index) {
  if (index == 0)
    return std::log(0.5);
  const double n = index;
  return std::log(0.5 / (n * (n + 1)));
}

} // namespace

GradeTotals totalsOf(const EvidenceCounters &counters) {
  return {counters.Grades,
          static_cast<double>(counters.ScoreSumMicro) / MicroPerUnit,
          counters.BadGrades,
          static_cast<double>(counters.BadScoreSumMicro) / MicroPerUnit};
}

void SequentialMeanTest::update(const GradeTotals &totals) {
  // A new change point starts after the grade that completes the span of the
  // previous one.
  if (Latest.Grades >= NextChangePointAt)
    addChangePoint();
  Latest = totals;
}

void SequentialMeanTest::addChangePoint() {
  ChangePoints.push_back({Latest, logWeight(ChangePointCount++)});
  NextChangePointAt = Latest.Grades + GradesPerChangePoint;
  if (ChangePoints.size() > MaxChangePoints)
    pruneChangePoints();
}

// Drops every other change point of the older half, except the first: a change
// that long ago would have been detected by now.
void SequentialMeanTest::pruneChangePoints() {
  std::vector<ChangePoint> remaining;
  remaining.reserve(MaxChangePoints);
  for (std::size_t i = 0; i < ChangePoints.size(); ++i) {
    if (i == 0 || i >= ChangePoints.size() / 2 || i % 2 == 0)
      remaining.push_back(ChangePoints[i]);
  }
  ChangePoints = std::move(remaining);
}

double SequentialMeanTest::evidence(double bound) const {
  const BetGrowth growth(std::clamp(bound, MinBound, MaxBound));
  double sum = -std::numeric_limits<double>::infinity();
  for (const ChangePoint &it : ChangePoints)
    sum = logAdd(sum,
                 it.LogWeight + growth.logMixture(spanOf(it.Before, Latest)));
  return ChangePoints.empty() ? 0 : sum;
}

} // namespace cowslipridge::rollout
