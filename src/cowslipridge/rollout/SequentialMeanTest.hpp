#pragma once

#include "cowslipridge/rollout/Evidence.hpp"

#include <cstdint>
#include <vector>

namespace cowslipridge::rollout {

/// Counts and sums of the grades so far, as SequentialMeanTest needs them.
struct GradeTotals {
  std::uint64_t Grades = 0;
  double ScoreSum = 0;
  std::uint64_t BadGrades = 0; ///< below one half
  double BadScoreSum = 0;      ///< a lower bound of their sum
  [[nodiscard]] double mean() const {
    return Grades == 0 ? 0 : ScoreSum / static_cast<double>(Grades);
  }
};

GradeTotals totalsOf(const EvidenceCounters &counters);

/// Anytime-valid sequential test of whether the mean score of a version is
/// below a bound: while the mean is not below the bound, the probability that
/// evidence() ever reaches log(1/p) is at most p.
///
/// The test is by betting (an e-process). The evidence is the log wealth of
/// bets against the version, mixed over several stakes and over several change
/// points, that is, times at which the version may have become worse. The log
/// growth of a bet is concave in the score, so its chords below and above one
/// half bound it from below. Therefore the sums of the low and of the high
/// scores suffice, and the order of grades does not matter.
class SequentialMeanTest {
public:
  /// Sets newer totals, which must not be smaller than the previous ones.
  void update(const GradeTotals &totals);
  /// Returns the log of the evidence that the mean is below `bound` (0..1).
  [[nodiscard]] double evidence(double bound) const;
  [[nodiscard]] const GradeTotals &totals() const { return Latest; }

private:
  /// Totals before a time at which the version may have become worse.
  struct ChangePoint {
    GradeTotals Before;
    double LogWeight = 0;
  };
  void addChangePoint();
  void pruneChangePoints();

  GradeTotals Latest;
  std::uint64_t NextChangePointAt = 0;
  unsigned ChangePointCount = 0;
  std::vector<ChangePoint> ChangePoints;
};

} // namespace cowslipridge::rollout
