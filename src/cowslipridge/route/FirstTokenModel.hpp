#pragma once

#include <array>
#include <cstddef>

namespace cowslipridge::route {

/// What the time to first token is predicted from.
struct FirstTokenFeatures {
  double UncachedTokens = 0;
  /// Of this entry's calls at the runner that wait for their first token.
  double PendingTokens = 0;
  double ReportedRequests =
      0;                      ///< requests running or waiting, as last reported
  double SentSinceReport = 0; ///< this entry's calls that no report covers
  double ExcessRequests = 0;  ///< part of both over the concurrency limit
};

/// Linear prediction of the time to first token, fitted to answers by
/// recursive least squares with exponential forgetting.
class FirstTokenModel {
public:
  /// Milliseconds; never below MinPrediction.
  [[nodiscard]] double predict(const FirstTokenFeatures &features) const;
  void observe(const FirstTokenFeatures &features, double elapsedMillis);

  static constexpr double MinPrediction = 1;

private:
  static constexpr std::size_t FeatureCount = 6;
  using Vector = std::array<double, FeatureCount>;

  static Vector toVector(const FirstTokenFeatures &features);

  /// Milliseconds: fixed, per thousand uncached tokens, per request ahead.
  Vector Coefficients{20, 200, 20};
  std::array<Vector, FeatureCount> Covariance{{{100, 0, 0, 0, 0, 0},
                                               {0, 1000, 0, 0, 0, 0},
                                               {0, 0, 1000, 0, 0, 0},
                                               {0, 0, 0, 100, 0, 0},
                                               {0, 0, 0, 0, 100, 0},
                                               {0, 0, 0, 0, 0, 1000}}};
};

} // namespace cowslipridge::route
