#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/route/PlanOptions.hpp"

#include <map>
#include <string>
#include <vector>

namespace cowslipridge::route {

/// Requests that share one list of options.
struct PlanContext {
  std::string RequestClass;
  bool MayCascade = true;
  friend auto operator<=>(const PlanContext &, const PlanContext &) = default;
};

/// Holds one organisation's mean grade at its target at the least cost.
///
/// It finds the price of quality (a Lagrange multiplier, in cost per grade) at
/// which the organisation's recent mix of requests just meets the target, and
/// corrects the target by what the grades say of the answers already given.
class QualityControl {
public:
  /// Takes the target, and notes a request with what it could be planned as.
  void recordRequest(double target, const PlanContext &context,
                     const std::vector<PlanOption> &options);
  /// The price for one request. Two prices are mixed, because a single one
  /// mostly lands above or below the target.
  [[nodiscard]] double drawPrice(core::Random &random) const;
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
