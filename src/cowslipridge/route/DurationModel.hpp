#pragma once

#include "cowslipridge/route/Planner.hpp"

#include <map>
#include <optional>
#include <utility>

namespace cowslipridge::route {

/// Estimates the duration of complete answers for each version, as exponential
/// moving averages of the mean and the mean absolute deviation.
class DurationModel {
public:
  void observe(const DurationObservation &duration);
  /// Returns a duration that few answers exceed, or nothing before the first
  /// observation.
  [[nodiscard]] std::optional<core::Millis>
  upperBound(const core::ServiceId &service,
             const core::VersionId &version) const;

private:
  struct Estimate {
    double Mean = 0;      ///< milliseconds
    double Deviation = 0; ///< mean absolute deviation, milliseconds
  };
  std::map<std::pair<core::ServiceId, core::VersionId>, Estimate> Estimates;
};

} // namespace cowslipridge::route
