#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace cowslipridge::route::internal {

/// A linear model of N features, fitted by recursive least squares with
/// exponential forgetting. No coefficient becomes negative.
template <std::size_t N> class LeastSquares {
public:
  using Vector = std::array<double, N>;

  struct Options {
    /// Variance of one observed value.
    double NoiseVariance = 1;
    /// Factor that discounts earlier observations at each new one.
    double ForgettingFactor = 0.999;
    /// Limits the covariance's diagonal. Without a limit, forgetting lets the
    /// covariance grow indefinitely while the features hardly vary.
    double MaxCovariance = 1e5;
  };

  /// `variances` are those of the initial coefficients.
  LeastSquares(const Vector &coefficients, const Vector &variances,
               const Options &options)
      : Coefficients(coefficients), Settings(options) {
    for (std::size_t i = 0; i < N; ++i)
      Covariance[i][i] = variances[i];
  }

  [[nodiscard]] const Vector &coefficients() const { return Coefficients; }

  [[nodiscard]] double predict(const Vector &values) const {
    double sum = 0;
    for (std::size_t i = 0; i < N; ++i)
      sum += values[i] * Coefficients[i];
    return sum;
  }

  void observe(const Vector &values, double observed) {
    Vector projected{};
    double variance = Settings.NoiseVariance;
    for (std::size_t i = 0; i < N; ++i) {
      for (std::size_t j = 0; j < N; ++j)
        projected[i] += Covariance[i][j] * values[j];
      variance += values[i] * projected[i];
    }
    const double error = observed - predict(values);
    for (std::size_t i = 0; i < N; ++i) {
      const double gain = projected[i] / variance;
      Coefficients[i] = std::max(0.0, Coefficients[i] + gain * error);
      for (std::size_t j = 0; j < N; ++j)
        Covariance[i][j] -= gain * projected[j];
    }
    forget();
  }

private:
  void forget() {
    for (std::size_t i = 0; i < N; ++i) {
      if (Covariance[i][i] > Settings.MaxCovariance)
        continue;
      for (std::size_t j = 0; j < N; ++j)
        Covariance[i][j] /= Settings.ForgettingFactor;
    }
  }

  Vector Coefficients;
  std::array<Vector, N> Covariance{};
  Options Settings;
};

} // namespace cowslipridge::route::internal
