#include "cowslipridge/route/FirstTokenModel.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

/// Factor that discounts earlier observations at each new one.
constexpr double ForgettingFactor = 0.999;
/// Limits the covariance's diagonal. Without a limit, exponential forgetting
/// lets the covariance grow indefinitely while the features hardly vary.
constexpr double MaxCovariance = 1e5;
/// Variance of one measured time to first token, in square milliseconds.
constexpr double NoiseVariance = 2500;
/// Lower bound of all coefficients: neither the fixed delay nor the delay per
/// token or request can be negative.
constexpr double MinCoefficient = 0;

} // namespace

FirstTokenModel::Vector
FirstTokenModel::toVector(const FirstTokenFeatures &features) {
  return {1,
          features.UncachedTokens / 1000,
          features.PendingTokens / 1000,
          features.ReportedRequests,
          features.SentSinceReport,
          features.ExcessRequests};
}

double FirstTokenModel::predict(const FirstTokenFeatures &features) const {
  const Vector values = toVector(features);
  double sum = 0;
  for (std::size_t i = 0; i < FeatureCount; ++i)
    sum += values[i] * Coefficients[i];
  return std::max(MinPredictionMillis, sum);
}

void FirstTokenModel::observe(const FirstTokenFeatures &features,
                              double elapsedMillis) {
  const Vector values = toVector(features);
  Vector projected{};
  double variance = NoiseVariance;
  double predicted = 0;
  for (std::size_t i = 0; i < FeatureCount; ++i) {
    for (std::size_t j = 0; j < FeatureCount; ++j)
      projected[i] += Covariance[i][j] * values[j];
    variance += values[i] * projected[i];
    predicted += values[i] * Coefficients[i];
  }
  const double error = elapsedMillis - predicted;
  for (std::size_t i = 0; i < FeatureCount; ++i) {
    const double gain = projected[i] / variance;
    Coefficients[i] = std::max(MinCoefficient, Coefficients[i] + gain * error);
    for (std::size_t j = 0; j < FeatureCount; ++j)
      Covariance[i][j] -= gain * projected[j];
  }
  for (std::size_t i = 0; i < FeatureCount; ++i) {
    if (Covariance[i][i] > MaxCovariance)
      continue;
    for (std::size_t j = 0; j < FeatureCount; ++j)
      Covariance[i][j] /= ForgettingFactor;
  }
}

} // namespace cowslipridge::route
