#include "cowslipridge/route/DurationModel.hpp"

#include <cmath>

namespace cowslipridge::route {

namespace {

/// Weight of a new duration in the moving average of durations.
constexpr double MeanGain = 1.0 / 16;
/// Weight of a new duration in the moving average of absolute deviations.
constexpr double DeviationGain = 1.0 / 8;
/// Mean absolute deviations between the mean and the upper bound.
constexpr double BoundDeviations = 3;

} // namespace

void DurationModel::observe(const DurationObservation &duration) {
  const auto elapsed = static_cast<double>(duration.Elapsed.count());
  const auto [it, isNew] = Estimates.try_emplace(
      {duration.Service, duration.Version}, Estimate{elapsed, elapsed / 4});
  if (isNew)
    return;
  Estimate &estimate = it->second;
  const double error = elapsed - estimate.Mean;
  estimate.Mean += MeanGain * error;
  estimate.Deviation += DeviationGain * (std::abs(error) - estimate.Deviation);
}

std::optional<core::Millis>
DurationModel::upperBound(const core::ServiceId &service,
                          const core::VersionId &version) const {
  const auto it = Estimates.find({service, version});
  if (it == Estimates.end())
    return std::nullopt;
  const Estimate &estimate = it->second;
  return core::Millis(static_cast<std::int64_t>(
      std::ceil(estimate.Mean + BoundDeviations * estimate.Deviation)));
}

} // namespace cowslipridge::route
