#pragma once

#include <array>
#include <cstddef>

namespace cowslipridge::route {

/// Features from which the time to first token is predicted.
struct FirstTokenFeatures {
  double UncachedTokens = 0;
  /// Uncached tokens of this entry's calls that wait for their first token at
  /// the runner.
  double PendingTokens = 0;
  double ReportedRequests = 0; ///< running or queued, as last reported
  double SentSinceReport = 0;  ///< this entry's calls that no report includes
  double ExcessRequests = 0;   ///< requests above the concurrency limit
};

/// Predicts the time to first token with a linear model, fitted by recursive
/// least squares with exponential forgetting.
class FirstTokenModel {
public:
  /// Returns milliseconds, at least MinPredictionMillis.
  [[nodiscard]] double predict(const FirstTokenFeatures &features) const;
  void observe(const FirstTokenFeatures &features, double elapsedMillis);

  static constexpr double MinPredictionMillis = 1;

private:
  static constexpr std::size_t FeatureCount = 6;
  using Vector = std::array<double, FeatureCount>;

  static Vector toVector(const FirstTokenFeatures &features);

  /// Milliseconds: fixed, per thousand uncached tokens, per thousand pending
  /// tokens, per reported request, per request sent since the report, and per
  /// request above the concurrency limit.
  Vector Coefficients{20, 200, 20};
  std::array<Vector, FeatureCount> Covariance{{{100, 0, 0, 0, 0, 0},
                                               {0, 1000, 0, 0, 0, 0},
                                               {0, 0, 1000, 0, 0, 0},
                                               {0, 0, 0, 100, 0, 0},
                                               {0, 0, 0, 0, 100, 0},
                                               {0, 0, 0, 0, 0, 1000}}};
};

} // namespace cowslipridge::route
