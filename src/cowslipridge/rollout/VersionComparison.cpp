#include "cowslipridge/rollout/VersionComparison.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::rollout {

namespace {

/// What is left of the weight of an answer after one more span of time.
constexpr double Decay = 0.6;
/// Weight of the share over the whole roll-out, in answers.
constexpr double OverallWeight = 6;
/// Weight of the assumption that the stable version serves well, in answers.
constexpr double PriorWeight = 20;
/// Bounds on the estimated share: chance failures occur to any version, and one
/// that fails nearly always can't be compared with.
constexpr double MinShare = 0.01;
constexpr double MaxShare = 0.95;
/// Bounds on the evidence for a version, so that it follows a disturbance and
/// its end.
constexpr double MinInFavour = -1;
constexpr double MaxInFavour = 8;

} // namespace

PairedCounts &PairedCounts::operator+=(const PairedCounts &other) {
  Trial += other.Trial;
  TrialBad += other.TrialBad;
  Stable += other.Stable;
  StableBad += other.StableBad;
  return *this;
}

double StableShare::estimate(const PairedCounts &window) const {
  const double overall =
      (AllBad + static_cast<double>(window.StableBad)) /
      (AllAnswers + static_cast<double>(window.Stable) + PriorWeight);
  const double bad = RecentBad + static_cast<double>(window.StableBad);
  const double answers = RecentAnswers + static_cast<double>(window.Stable);
  return std::clamp((bad + OverallWeight * overall) / (answers + OverallWeight),
                    MinShare, MaxShare);
}

void StableShare::onWindowEnded(const PairedCounts &window) {
  RecentBad = (RecentBad + static_cast<double>(window.StableBad)) * Decay;
  RecentAnswers = (RecentAnswers + static_cast<double>(window.Stable)) * Decay;
  AllBad += static_cast<double>(window.StableBad);
  AllAnswers += static_cast<double>(window.Stable);
}

double logRatio(const PairedCounts &window, double stableShare,
                double difference) {
  const double worseShare = stableShare + difference * (1 - stableShare);
  const auto bad = static_cast<double>(window.TrialBad);
  const auto good = static_cast<double>(window.Trial - window.TrialBad);
  return bad * std::log(worseShare / stableShare) +
         good * std::log1p(-difference);
}

void ComparisonScore::add(double ratio, std::uint64_t bad) {
  Against = std::max(0.0, Against + ratio);
  BadAgainst = Against > 0 ? BadAgainst + bad : 0;
  For = std::clamp(For - ratio, MinInFavour, MaxInFavour);
  const bool isDoubtful = Against >= Limits.WorseScore / 2;
  MaxFor = isDoubtful ? 0 : std::max(MaxFor, For);
}

} // namespace cowslipridge::rollout
