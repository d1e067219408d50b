#include "cowslipridge/route/NextModelRecord.hpp"

#include <cmath>

namespace cowslipridge::route {

namespace {

constexpr double HalfLifeMillis = 20'000;
/// Expected share of sufficient answers before any is observed, and its weight
/// in observations.
constexpr double InitialShare = 0.8;
constexpr double InitialWeight = 10;
/// Below this share, the largest model costs less than trying the next one
/// first.
constexpr double MinShare = 0.5;

} // namespace

double NextModelRecord::decayFactor(core::Millis now) const {
  return std::exp2(-static_cast<double>((now - RecordedAt).count()) /
                   HalfLifeMillis);
}

void NextModelRecord::record(bool sufficient, core::Millis now) {
  const double factor = decayFactor(now);
  Sufficient *= factor;
  Insufficient *= factor;
  RecordedAt = now;
  (sufficient ? Sufficient : Insufficient) += 1;
}

bool NextModelRecord::isWorthwhile(core::Millis now) const {
  const double factor = decayFactor(now);
  const double share = (factor * Sufficient + InitialShare * InitialWeight) /
                       (factor * (Sufficient + Insufficient) + InitialWeight);
  return share >= MinShare;
}

} // namespace cowslipridge::route
