#include "cowslipridge/rollout/QualityTest.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace cowslipridge::rollout {

namespace {

constexpr double MicroPerUnit = 1e6;
constexpr std::uint64_t GradesPerPoint = 8;
constexpr std::size_t MaxPoints = 48;

/// Stakes, as fractions of the largest that cannot lose everything.
constexpr std::array<double, 6> Stakes = {0.1, 0.25, 0.4, 0.55, 0.7, 0.85};

/// Keeps bets finite.
constexpr double MinBound = 0.02;
constexpr double MaxBound = 0.98;

double logAdd(double a, double b) {
  const double high = std::max(a, b);
  if (high == -std::numeric_limits<double>::infinity())
    return high;
  return high + std::log1p(std::exp(std::min(a, b) - high));
}

/// Grades since a point, split at one half.
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
  // A source that does not tell the low sum is taken at its least.
  const double lowSum =
      std::max({0.0, sum - high, now.BadScoreSum - before.BadScoreSum});
  return {low, lowSum, high, sum - lowSum};
}

/// Log growth of each stake at the scores 0, one half and 1.
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

  // Log of the mean wealth.
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

// Half of the weight lies on the first point, the rest falls off so that all
// weights together stay below one however many points there will be.
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

void QualityTest::update(const GradeTotals &totals) {
  // A grade that completes a point's span belongs to the span before it.
  if (Latest.Grades >= NextPointAt)
    addChangePoint();
  Latest = totals;
}

void QualityTest::addChangePoint() {
  Points.push_back({Latest, logWeight(PointCount++)});
  NextPointAt = Latest.Grades + GradesPerPoint;
  if (Points.size() > MaxPoints)
    thinOut();
}

// Drops every other one of the older half, but never the first: a change long
// ago would have been seen by now.
void QualityTest::thinOut() {
  std::vector<ChangePoint> kept;
  kept.reserve(MaxPoints);
  for (std::size_t i = 0; i < Points.size(); ++i) {
    if (i == 0 || i >= Points.size() / 2 || i % 2 == 0)
      kept.push_back(Points[i]);
  }
  Points = std::move(kept);
}

double QualityTest::evidence(double bound) const {
  const BetGrowth growth(std::clamp(bound, MinBound, MaxBound));
  double sum = -std::numeric_limits<double>::infinity();
  for (const ChangePoint &it : Points)
    sum = logAdd(sum,
                 it.LogWeight + growth.logMixture(spanOf(it.Before, Latest)));
  return Points.empty() ? 0 : sum;
}

} // namespace cowslipridge::rollout
