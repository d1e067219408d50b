#include "cowslipridge/route/FirstTokenModel.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

/// Weight that an answer keeps at each later one.
constexpr double ForgettingFactor = 0.999;
/// Bound of the covariance's diagonal; without it, forgetting lets the
/// covariance grow without end while the factors hardly vary.
constexpr double MaxCovariance = 1e5;
/// Variance of one answer's time, in square milliseconds.
constexpr double NoiseVariance = 2500;
/// The fixed part and the cost of tokens and of load are never negative.
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
  return std::max(MinPrediction, sum);
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
