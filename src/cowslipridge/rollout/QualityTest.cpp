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

/// Alternative means, as fractions of the bound.
constexpr std::array<double, 6> Alternatives = {0.15, 0.35, 0.5,
                                                0.65, 0.8,  0.92};

/// Keeps likelihoods finite.
constexpr double MinBound = 0.02;
constexpr double MaxBound = 0.98;

double logAdd(double a, double b) {
  const double high = std::max(a, b);
  if (high == -std::numeric_limits<double>::infinity())
    return high;
  return high + std::log1p(std::exp(std::min(a, b) - high));
}

/// Log likelihood ratios of the alternative means against one bound, per unit
/// of score and of missing score.
class AlternativeRatios {
public:
  explicit AlternativeRatios(double bound) {
    for (std::size_t i = 0; i < Alternatives.size(); ++i) {
      const double mean = Alternatives[i] * bound;
      PerScore[i] = std::log(mean / bound);
      PerMissing[i] = std::log((1 - mean) / (1 - bound));
    }
  }

  // Log of the mean likelihood ratio.
  [[nodiscard]] double logMixture(double grades, double scoreSum) const {
    std::array<double, Alternatives.size()> logs{};
    for (std::size_t i = 0; i < logs.size(); ++i)
      logs[i] = scoreSum * PerScore[i] + (grades - scoreSum) * PerMissing[i];
    const double high = *std::max_element(logs.begin(), logs.end());
    double sum = 0;
    for (const double it : logs)
      sum += std::exp(it - high);
    return high + std::log(sum / static_cast<double>(logs.size()));
  }

private:
  std::array<double, Alternatives.size()> PerScore{};
  std::array<double, Alternatives.size()> PerMissing{};
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
          static_cast<double>(counters.ScoreSumMicro) / MicroPerUnit};
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
  const AlternativeRatios ratios(std::clamp(bound, MinBound, MaxBound));
  double sum = -std::numeric_limits<double>::infinity();
  for (const ChangePoint &it : Points) {
    const auto grades = static_cast<double>(Latest.Grades - it.Before.Grades);
    const double scoreSum = Latest.ScoreSum - it.Before.ScoreSum;
    sum = logAdd(sum, it.LogWeight + ratios.logMixture(grades, scoreSum));
  }
  return Points.empty() ? 0 : sum;
}

} // namespace cowslipridge::rollout
