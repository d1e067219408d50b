#pragma once

#include "cowslipridge/core/Finding.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::config {

enum class DaemonRole { Entry, Sidecar };

/// The runner beside a sidecar: section `[runner]`.
struct RunnerSettings {
  std::string Address;                   ///< `address = http://127.0.0.1:7000`
  core::ServiceId Service;               ///< `service = drafting`
  std::vector<core::VersionId> Versions; ///< `versions = small@3, large@2`
};

/// Settings of one daemon, from its INI file. Unknown sections and keys,
/// invalid numbers and invalid units are findings.
struct DaemonSettings {
  // [process]
  DaemonRole Role = DaemonRole::Entry; ///< `role = entry` or `sidecar`
  core::InstanceId Instance;           ///< `instance = entry-kochi-a-1`
  core::FailureDomainId Domain;        ///< `failure_domain = kochi-a`
  std::size_t Threads = 4;             ///< `threads = 4`
  bool JsonLog = false;                ///< `log = text` or `json`
  // [listen]
  std::string Address;                          ///< `address = 127.0.0.1`
  std::uint16_t HttpPort = 0;                   ///< `http_port = 8080`
  std::uint16_t RpcPort = 0;                    ///< `rpc_port = 9080`
  std::size_t MaxBodyBytes = 8UL * 1024 * 1024; ///< `max_body = 8MiB`
  // [platform]; each `name = http://127.0.0.1:8500`
  std::string StoreAddress;     ///< `store`
  std::string InstancesAddress; ///< `instances`
  std::string RatingsAddress;   ///< `ratings`; optional
  std::string WeightsAddress;   ///< `weights`; optional
  unsigned ConfigWatchers = 32; ///< `config_watchers = 32`, over the fleet
  // [security]; keys in hex
  std::string FleetKey;     ///< `fleet_key`, 32 bytes: authenticates peers
  std::string SessionKey;   ///< `session_key`, 32 bytes: seals session tokens
  std::string AdminKeyHash; ///< `admin_key_hash`: SHA-256 of the operators' key
  // [runner]; sidecars only
  std::optional<RunnerSettings> Runner;
};

/// Parses the settings of a daemon. On any error, returns nothing and adds all
/// findings to `findings`. `file` is the file name shown in findings.
std::optional<DaemonSettings> parseSettings(std::string_view text,
                                            const std::string &file,
                                            core::Findings &findings);

} // namespace cowslipridge::config
