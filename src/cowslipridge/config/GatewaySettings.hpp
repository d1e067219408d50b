#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Finding.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::config {

/// A numeric address and a port: `10.1.0.40:8227`.
struct SocketAddress {
  std::string Host;
  std::uint16_t Port = 0;
  friend auto operator<=>(const SocketAddress &,
                          const SocketAddress &) = default;
};

/// Returns nothing when `text` is not a numeric IPv4 address with a port.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/// Retry budget of one service, shared by all gateways of the fleet.
struct RetryAllowance {
  double PerRequest = 0.1;     ///< `retry_ratio`
  double Fixed = 10;           ///< `retry_allowance`, added in each window
  core::Millis Window{10'000}; ///< `retry_window`
};

/// Limit of the requests that a version under trial may receive before its
/// roll-out ends.
struct ExposureAllowance {
  double Fraction = 0.15; ///< `exposure_fraction` of the service's load
  double Fixed = 30;      ///< `exposure_allowance`, requests
};

/// Limit of the requests that a cold runner may receive within a second from
/// all gateways, relative to the rate that its service declares.
struct ColdAllowance {
  double Overshoot = 1.5; ///< `cold_overshoot`, factor of the declared rate
  double Fixed = 5;       ///< `cold_allowance`, requests
};

/// Settings of one gateway, from its INI file.
struct GatewaySettings {
  // [process]
  core::InstanceId Instance;       ///< `instance`
  core::FailureDomainId Domain;    ///< `failure_domain`
  core::Millis GracePeriod{8'000}; ///< `grace_period`: SIGTERM to SIGKILL
  /// `memory`: that the process may take up, in bytes.
  std::size_t Memory = 256UL * 1024 * 1024;
  /// `descriptors`: that the process may open. Not set: as many as the
  /// operating system allows.
  std::optional<std::size_t> Descriptors;
  // [listen]
  SocketAddress Callers;   ///< `callers`
  SocketAddress Readiness; ///< `readiness`
  SocketAddress Peers;     ///< `peers`: datagrams from other gateways
  std::optional<SocketAddress> Metrics; ///< `metrics`; optional
  // [regions]
  /// Region of each failure domain: `DOMAIN = REGION`.
  std::map<core::FailureDomainId, std::string> Regions;
  // [store]
  SocketAddress Store; ///< `address`
  // [admission]
  /// `order`: under scarcity, requests are ordered by more than their rank.
  bool AdmissionOrder = false;
  // [promises]
  RetryAllowance Retries;
  ExposureAllowance Exposure;
  ColdAllowance Cold;
  core::Millis SessionLifetime{5'000}; ///< `session_lifetime`
  /// `configuration_deadline`: from the acceptance of a configuration until it
  /// is in force at every gateway.
  core::Millis ConfigurationDeadline{2'000};
  /// `drain_deadline`: from the time at which a runner reports that it is
  /// draining until it gets no more requests.
  core::Millis DrainDeadline{2'000};
};

/// Parses the settings of a gateway. On any error, returns nothing and adds all
/// findings to `findings`. `file` is the file name shown in findings.
std::optional<GatewaySettings> parseGatewaySettings(std::string_view text,
                                                    const std::string &file,
                                                    core::Findings &findings);

} // namespace cowslipridge::config
