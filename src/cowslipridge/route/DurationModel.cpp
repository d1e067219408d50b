#include "cowslipridge/route/DurationModel.hpp"

#include <cmath>

namespace cowslipridge::route {

namespace {

constexpr double MeanGain = 1.0 / 16;
constexpr double DeviationGain = 1.0 / 8;
constexpr double DeviationsAbove = 3;

} // namespace

void DurationModel::observe(const DurationObservation &duration) {
  const auto elapsed = static_cast<double>(duration.Elapsed.count());
  const auto [it, isNew] = Estimates.try_emplace(
      {duration.Service, duration.Version}, Estimate{elapsed, elapsed / 4});
  if (isNew)
    return;
  Estimate &known = it->second;
  const double error = elapsed - known.Mean;
  known.Mean += MeanGain * error;
  known.Deviation += DeviationGain * (std::abs(error) - known.Deviation);
}

std::optional<core::Millis>
DurationModel::bound(const core::ServiceId &service,
                     const core::VersionId &version) const {
  const auto it = Estimates.find({service, version});
  if (it == Estimates.end())
    return std::nullopt;
  const Estimate &known = it->second;
  return core::Millis(static_cast<std::int64_t>(
      std::ceil(known.Mean + DeviationsAbove * known.Deviation)));
}

} // namespace cowslipridge::route
