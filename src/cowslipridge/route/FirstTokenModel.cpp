#include "cowslipridge/route/FirstTokenModel.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

/// Weight that an answer keeps at each later one.
constexpr double Forgetting = 0.999;
/// Bound of the covariance's diagonal; without it, forgetting lets the
/// covariance grow without end while the factors hardly vary.
constexpr double MaxCovariance = 1e5;
/// Variance of one answer's time, in square milliseconds.
constexpr double Noise = 2500;
/// The fixed part and the cost of tokens and of load are never negative.
constexpr double MinCoefficient = 0;

} // namespace

FirstTokenModel::Vector
FirstTokenModel::featuresOf(const FirstTokenFactors &factors) {
  return {1,
          factors.UncachedTokens / 1000,
          factors.PendingTokens / 1000,
          factors.Reported,
          factors.SentSinceReport,
          factors.Excess};
}

double FirstTokenModel::predict(const FirstTokenFactors &factors) const {
  const Vector features = featuresOf(factors);
  double sum = 0;
  for (std::size_t i = 0; i < Size; ++i)
    sum += features[i] * Coefficients[i];
  return std::max(MinPrediction, sum);
}

void FirstTokenModel::observe(const FirstTokenFactors &factors,
                              double elapsedMillis) {
  const Vector features = featuresOf(factors);
  Vector projected{};
  double variance = Noise;
  double predicted = 0;
  for (std::size_t i = 0; i < Size; ++i) {
    for (std::size_t j = 0; j < Size; ++j)
      projected[i] += Covariance[i][j] * features[j];
    variance += features[i] * projected[i];
    predicted += features[i] * Coefficients[i];
  }
  const double error = elapsedMillis - predicted;
  for (std::size_t i = 0; i < Size; ++i) {
    const double gain = projected[i] / variance;
    Coefficients[i] = std::max(MinCoefficient, Coefficients[i] + gain * error);
    for (std::size_t j = 0; j < Size; ++j)
      Covariance[i][j] -= gain * projected[j];
  }
  for (std::size_t i = 0; i < Size; ++i) {
    if (Covariance[i][i] > MaxCovariance)
      continue;
    for (std::size_t j = 0; j < Size; ++j)
      Covariance[i][j] /= Forgetting;
  }
}

} // namespace cowslipridge::route
