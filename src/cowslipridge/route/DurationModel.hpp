#pragma once

#include "cowslipridge/route/Planner.hpp"

#include <map>
#include <optional>
#include <utility>

namespace cowslipridge::route {

/// How long each version's whole answers take.
class DurationModel {
public:
  void observe(const DurationObservation &duration);
  /// A time that few answers exceed; nothing before the first observation.
  [[nodiscard]] std::optional<core::Millis>
  upperBound(const core::ServiceId &service,
             const core::VersionId &version) const;

private:
  struct Estimate {
    double Mean = 0;      ///< milliseconds
    double Deviation = 0; ///< mean absolute, milliseconds
  };
  std::map<std::pair<core::ServiceId, core::VersionId>, Estimate> Estimates;
};

} // namespace cowslipridge::route
