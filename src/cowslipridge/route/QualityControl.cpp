#include "cowslipridge/route/QualityControl.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::route {

namespace {

/// Share of its weight that a request class keeps at each new request.
constexpr double KeepPerRequest = 0.995;
/// Requests between two solutions for the price.
constexpr unsigned RequestsPerSolve = 8;
/// Price above which only quality counts, in cost per grade.
constexpr double MaxPrice = 1e6;
constexpr int BisectionSteps = 40;
/// Part of one grade's deviation that moves the goal.
constexpr double CorrectionPerGrade = 1.0 / 80;
constexpr double MinCorrection = -0.02;
constexpr double MaxCorrection = 0.15;
/// Requests over which the target must hold.
constexpr double WindowRequests = 500;
/// Margin over the target, in standard errors of one window's mean.
constexpr double MarginErrors = 2.6;
/// Spread of grades assumed until enough are known.
constexpr double InitialSpread = 0.25;
constexpr unsigned GradesForSpread = 30;
constexpr double KeepForSpread = 0.99;

} // namespace

double QualityControl::goal() const {
  const double margin =
      MarginErrors *
      std::sqrt(GradesSeen < GradesForSpread ? InitialSpread * InitialSpread
                                             : Spread) /
      std::sqrt(WindowRequests);
  return Target + margin;
}

void QualityControl::observe(double score) {
  ++GradesSeen;
  const double keep = std::min(KeepForSpread, 1 - 1.0 / GradesSeen);
  const double deviation = score - Mean;
  Mean = keep * Mean + (1 - keep) * score;
  Spread = keep * Spread + (1 - keep) * deviation * deviation;
  Correction = std::clamp(Correction + CorrectionPerGrade * (goal() - score),
                          MinCorrection, MaxCorrection);
}

void QualityControl::arrive(double target, const PlanContext &context,
                            const std::vector<PlanOption> &options) {
  for (auto &[other, share] : Mix)
    share.Weight *= KeepPerRequest;
  Share &own = Mix[context];
  own.Weight += 1;
  own.Options = options;
  const bool targetMoved = target != Target;
  Target = target;
  if (UntilSolve > 0 && !targetMoved) {
    --UntilSolve;
    return;
  }
  UntilSolve = RequestsPerSolve;
  solve();
}

double QualityControl::expectedQuality(double price) const {
  double sum = 0;
  double weight = 0;
  for (const auto &[context, share] : Mix) {
    sum += share.Weight * bestOption(share.Options, price).Quality;
    weight += share.Weight;
  }
  return sum / weight;
}

void QualityControl::solve() {
  const double wanted = goal() + Correction;
  LowPrice = 0;
  HighPrice = MaxPrice;
  HighShare = 1;
  if (expectedQuality(0) >= wanted) {
    HighPrice = 0;
    return;
  }
  for (int step = 0; step < BisectionSteps; ++step) {
    // Prices span many magnitudes, so the early steps halve the exponent.
    const double middle =
        LowPrice < 1e-3 ? HighPrice / 64 : std::sqrt(LowPrice * HighPrice);
    (expectedQuality(middle) >= wanted ? HighPrice : LowPrice) = middle;
  }
  const double low = expectedQuality(LowPrice);
  const double high = expectedQuality(HighPrice);
  if (high > low)
    HighShare = std::clamp((wanted - low) / (high - low), 0.0, 1.0);
}

double QualityControl::drawPrice(core::Random &random) const {
  return core::uniform(random) < HighShare ? HighPrice : LowPrice;
}

} // namespace cowslipridge::route
