#pragma once

#include "cowslipridge/gateway/Dispatcher.hpp"
#include "cowslipridge/observe/Metrics.hpp"

#include <cstddef>
#include <optional>
#include <set>

namespace cowslipridge::gateway {

/// Sources of the values of a gateway's gauges.
struct GaugeSources {
  Dispatcher &RequestDispatcher;
  std::size_t InFlight = 0;
  std::size_t Connections = 0;
  std::size_t ReportingPeers = 0;
  std::size_t BufferedBytes = 0;
  std::optional<core::Millis> StoreUnavailableSince;
  core::Millis Now;
};

/// Sets a gateway's gauges at each scrape.
class GatewayGauges {
public:
  explicit GatewayGauges(observe::Metrics &metrics) : Metrics(metrics) {}
  void update(const GaugeSources &sources);

private:
  void updateFleet(const GaugeSources &sources);
  void updateServices(const GaugeSources &sources);
  void updateTrials(const Dispatcher &dispatcher);
  void set(observe::GaugeName name, double value);
  void set(observe::GaugeName name, const core::ServiceId &service,
           double value);

  observe::Metrics &Metrics;
  /// Services whose trial share was set by the last update.
  std::set<core::ServiceId> Trials;
};

} // namespace cowslipridge::gateway
