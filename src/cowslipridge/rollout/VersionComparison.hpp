#pragma once

#include <cstdint>

namespace cowslipridge::rollout {

/// Answers of both versions of a service in the same span of time, on the same
/// route.
struct PairedCounts {
  std::uint64_t Trial = 0;
  std::uint64_t TrialBad = 0;
  std::uint64_t Stable = 0;
  std::uint64_t StableBad = 0;

  PairedCounts &operator+=(const PairedCounts &other);
};

/// What a version on trial is tested for, and how much evidence decides.
struct ComparisonLimits {
  /// Share of otherwise good answers that a worse version spoils.
  double Difference = 0;
  double WorseScore = 0;    ///< log-likelihood ratio that shows it worse
  std::uint64_t MinBad = 0; ///< bad answers without which it is not worse
};

/// Estimates the present share of bad answers of the stable version. It follows
/// a disturbance that strikes both versions, and its end.
class StableShare {
public:
  /// Returns the estimate for a span of time that has not ended.
  [[nodiscard]] double estimate(const PairedCounts &window) const;
  void onWindowEnded(const PairedCounts &window);

private:
  double RecentAnswers = 0;
  double RecentBad = 0;
  double AllAnswers = 0;
  double AllBad = 0;
};

/// Returns the log-likelihood ratio of the answers on trial: that the version
/// spoils `difference` of the answers that the stable version would serve well,
/// against that it does not.
double logRatio(const PairedCounts &window, double stableShare,
                double difference);

/// Sequential test of a version against the stable one. It finds a change for
/// the worse whenever that begins: earlier good answers don't delay it.
class ComparisonScore {
public:
  explicit ComparisonScore(const ComparisonLimits &limits) : Limits(limits) {}

  /// Adds the ratio of one span of time, or of several routes in it.
  void add(double ratio, std::uint64_t bad);
  [[nodiscard]] bool isWorse() const {
    return Against >= Limits.WorseScore && BadAgainst >= Limits.MinBad;
  }
  /// Returns whether the evidence for the version has reached this score, and
  /// little has been held against it since.
  [[nodiscard]] bool isSound(double score) const { return MaxFor >= score; }
  /// Returns the present evidence against the version; 0 if there is none.
  [[nodiscard]] double against() const { return Against; }
  [[nodiscard]] double inFavour() const { return For; }

private:
  ComparisonLimits Limits;
  double Against = 0;
  std::uint64_t BadAgainst = 0; ///< since there was no evidence against it
  double For = 0;
  double MaxFor = 0; ///< since much evidence was held against it
};

} // namespace cowslipridge::rollout
