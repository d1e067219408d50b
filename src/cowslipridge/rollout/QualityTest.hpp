#pragma once

#include "cowslipridge/rollout/Evidence.hpp"

#include <cstdint>
#include <vector>

namespace cowslipridge::rollout {

/// Grades so far, as a sequential test needs them.
struct GradeTotals {
  std::uint64_t Grades = 0;
  double ScoreSum = 0;
  [[nodiscard]] double mean() const {
    return Grades == 0 ? 0 : ScoreSum / static_cast<double>(Grades);
  }
};

GradeTotals totalsOf(const EvidenceCounters &counters);

/// Sequential test that a version's mean score is below a bound, valid at any
/// time: as long as the mean is not below it, the chance that evidence() ever
/// reaches log(1/p) is at most p.
///
/// It is a mixture of likelihood ratios over alternative means and over times
/// at which the version may have turned bad. Scores lie in 0..1; a ratio of
/// Bernoulli likelihoods taken at their sum never exceeds the product of the
/// scores' own betting factors, so that counters suffice and no order of
/// grades matters.
class QualityTest {
public:
  /// Takes newer totals; they only ever grow.
  void update(const GradeTotals &totals);
  /// Log of the evidence that the mean is below `bound` (0..1).
  [[nodiscard]] double evidence(double bound) const;
  [[nodiscard]] const GradeTotals &totals() const { return Latest; }

private:
  /// Totals before a time at which the version may have turned bad.
  struct ChangePoint {
    GradeTotals Before;
    double LogWeight = 0;
  };
  void addChangePoint();
  void thinOut();

  GradeTotals Latest;
  std::uint64_t NextPointAt = 0;
  unsigned PointCount = 0;
  std::vector<ChangePoint> Points;
};

} // namespace cowslipridge::rollout
