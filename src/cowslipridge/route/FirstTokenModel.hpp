#pragma once

#include "cowslipridge/route/internal/LeastSquares.hpp"

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
  using Fit = internal::LeastSquares<6>;

  static Fit::Vector toVector(const FirstTokenFeatures &features);

  /// Milliseconds: fixed, per thousand uncached tokens, per thousand pending
  /// tokens, per reported request, per request sent since the report, and per
  /// request above the concurrency limit.
  Fit Model{
      {20, 200, 20},
      {100, 1000, 1000, 100, 100, 1000},
      {.NoiseVariance = 2500, .ForgettingFactor = 0.999, .MaxCovariance = 1e5}};
};

} // namespace cowslipridge::route
