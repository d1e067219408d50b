#pragma once

#include "cowslipridge/gateway/Dispatcher.hpp"
#include "cowslipridge/observe/Metrics.hpp"

#include <cstddef>
#include <optional>
#include <set>

namespace cowslipridge::gateway {

/// What a gateway's gauges are read off.
struct GaugeSources {
  Dispatcher &Decisions;
  std::size_t InFlight = 0;
  std::size_t Connections = 0;
  std::size_t PeersHeard = 0;
  std::optional<core::Millis> StoreUnavailableSince;
  core::Millis Now;
};

/// Sets a gateway's gauges, when somebody asks for them.
class GatewayGauges {
public:
  explicit GatewayGauges(observe::Metrics &metrics) : Counts(metrics) {}
  void update(const GaugeSources &sources);

private:
  void updateFleet(const GaugeSources &sources);
  void updateServices(const GaugeSources &sources);
  void updateTrials(const Dispatcher &decisions);
  void set(observe::GaugeName name, double value);
  void set(observe::GaugeName name, const core::ServiceId &service,
           double value);

  observe::Metrics &Counts;
  std::set<core::ServiceId> Trials; ///< with a share that was reported
};

} // namespace cowslipridge::gateway
