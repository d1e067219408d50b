#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/route/PlanOptions.hpp"

#include <map>
#include <string>
#include <vector>

namespace cowslipridge::route {

/// Identifies requests that share one list of options.
struct PlanContext {
  std::string RequestClass;
  bool MayCascade = true;
  friend auto operator<=>(const PlanContext &, const PlanContext &) = default;
};

/// Keeps one organisation's mean grade at its target at the lowest cost.
///
/// It computes the price of quality (a Lagrange multiplier, in cost per grade)
/// at which the organisation's recent mix of requests just meets the target,
/// and corrects the target by the deviation of the observed grades.
class QualityControl {
public:
  /// Updates the target, and adds a request with its plan options to the recent
  /// mix.
  void recordRequest(double target, const PlanContext &context,
                     const std::vector<PlanOption> &options);
  /// Returns the price for one request. It is drawn from two prices, because
  /// with a single price the mean quality is mostly above or below the target.
  [[nodiscard]] double drawPrice(core::Random &random) const;
  /// Updates the correction and the variance with the grade of one answer.
  void observe(double score);

private:
  struct Share {
    double Weight = 0;
    std::vector<PlanOption> Options;
  };

  [[nodiscard]] double targetWithMargin() const;
  [[nodiscard]] double expectedQuality(double price) const;
  void solvePrices();

  std::map<PlanContext, Share> RequestMix;
  double Target = 0;
  double Correction = 0;
  double Mean = 0;
  double Variance = 0;
  unsigned GradesSeen = 0;
  unsigned RequestsUntilSolve = 0;
  double LowPrice = 0;
  double HighPrice = 0;
  double HighShare = 1;
};

} // namespace cowslipridge::route
