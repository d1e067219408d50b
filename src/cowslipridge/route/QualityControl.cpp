#include "cowslipridge/route/QualityControl.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::route {

namespace {

/// Factor by which each context's weight decays at each new request.
constexpr double RequestDecay = 0.995;
/// Requests between two computations of the prices.
constexpr unsigned RequestsPerSolve = 8;
/// Upper bound of the price, in cost per unit of grade. At this price only
/// quality matters.
constexpr double MaxPrice = 1e6;
/// Bisection steps per computation of the prices.
constexpr int BisectionSteps = 40;
/// Integral gain: share of one grade's deviation from the target that is added
/// to the correction.
constexpr double CorrectionPerGrade = 1.0 / 80;
constexpr double MinCorrection = -0.02;
constexpr double MaxCorrection = 0.15;
/// Window of requests over which the mean grade must meet the target.
constexpr double WindowRequests = 500;
/// Margin above the target, in standard errors of one window's mean.
constexpr double MarginStandardErrors = 2.6;
/// Standard deviation of grades, assumed until MinGradesForVariance grades have
/// been observed.
constexpr double InitialDeviation = 0.25;
constexpr unsigned MinGradesForVariance = 30;
/// Decay factor per grade of the moving mean and variance.
constexpr double VarianceDecay = 0.99;

} // namespace

double QualityControl::targetWithMargin() const {
  const double margin = MarginStandardErrors *
                        std::sqrt(GradesSeen < MinGradesForVariance
                                      ? InitialDeviation * InitialDeviation
                                      : Variance) /
                        std::sqrt(WindowRequests);
  return Target + margin;
}

void QualityControl::observe(double score) {
  ++GradesSeen;
  const double decay = std::min(VarianceDecay, 1 - 1.0 / GradesSeen);
  const double deviation = score - Mean;
  Mean = decay * Mean + (1 - decay) * score;
  Variance = decay * Variance + (1 - decay) * deviation * deviation;
  Correction =
      std::clamp(Correction + CorrectionPerGrade * (targetWithMargin() - score),
                 MinCorrection, MaxCorrection);
}

void QualityControl::recordRequest(double target, const PlanContext &context,
                                   const std::vector<PlanOption> &options) {
  for (auto &[other, share] : RequestMix)
    share.Weight *= RequestDecay;
  Share &own = RequestMix[context];
  own.Weight += 1;
  own.Options = options;
  const bool targetChanged = target != Target;
  Target = target;
  if (RequestsUntilSolve > 0 && !targetChanged) {
    --RequestsUntilSolve;
    return;
  }
  RequestsUntilSolve = RequestsPerSolve;
  solvePrices();
}

double QualityControl::expectedQuality(double price) const {
  double sum = 0;
  double weight = 0;
  for (const auto &[context, share] : RequestMix) {
    sum += share.Weight * bestOption(share.Options, price).Quality;
    weight += share.Weight;
  }
  return sum / weight;
}

void QualityControl::solvePrices() {
  const double required = targetWithMargin() + Correction;
  LowPrice = 0;
  HighPrice = MaxPrice;
  HighShare = 1;
  if (expectedQuality(0) >= required) {
    HighPrice = 0;
    return;
  }
  for (int step = 0; step < BisectionSteps; ++step) {
    // Prices span many orders of magnitude, so the bisection is geometric;
    // while the lower price is near zero, the upper one is divided instead.
    const double middle =
        LowPrice < 1e-3 ? HighPrice / 64 : std::sqrt(LowPrice * HighPrice);
    (expectedQuality(middle) >= required ? HighPrice : LowPrice) = middle;
  }
  const double low = expectedQuality(LowPrice);
  const double high = expectedQuality(HighPrice);
  if (high > low)
    HighShare = std::clamp((required - low) / (high - low), 0.0, 1.0);
}

double QualityControl::drawPrice(core::Random &random) const {
  return core::uniform(random) < HighShare ? HighPrice : LowPrice;
}

} // namespace cowslipridge::route
