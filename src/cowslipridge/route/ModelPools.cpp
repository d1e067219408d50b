#include "cowslipridge/route/ModelPools.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::route {

namespace {

/// Half-life of the exponentially decayed sums of work.
constexpr double HalfLifeMillis = 6'000;
/// The smaller models' share of the runners before any work is recorded, and
/// its limits. The limits keep a short burst of one kind of request from taking
/// nearly all runners.
constexpr double InitialShare = 0.25;
constexpr double MinShare = 0.1;
constexpr double MaxShare = 0.6;
/// Weight of the initial share against recorded work, in milliseconds of work.
constexpr double InitialWeightMillis = 4'000;

} // namespace

void ModelPools::recordWork(bool largest, double workMillis, core::Millis now) {
  decay(now);
  (largest ? LargeWork : SmallWork) += workMillis;
}

std::size_t ModelPools::smallerModelsPoolSize(std::size_t total) const {
  if (total < 2)
    return total;
  const double work = SmallWork + LargeWork;
  const double share =
      std::clamp((SmallWork + InitialShare * InitialWeightMillis) /
                     (work + InitialWeightMillis),
                 MinShare, MaxShare);
  const auto pool = static_cast<std::size_t>(
      std::llround(share * static_cast<double>(total)));
  return std::clamp<std::size_t>(pool, 1, total - 1);
}

bool ModelPools::before(const core::RunnerId &a, const core::RunnerId &b) {
  return a < b;
}

void ModelPools::decay(core::Millis now) {
  const auto elapsed = static_cast<double>((now - DecayedAt).count());
  const double factor = std::exp2(-elapsed / HalfLifeMillis);
  SmallWork *= factor;
  LargeWork *= factor;
  DecayedAt = now;
}

} // namespace cowslipridge::route
