#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace cowslipridge::membership {

/// The registration of one incarnation of a runner.
struct BackendServer {
  core::RunnerId Id;
  core::ServiceId Service;
  std::string Host; ///< numeric IP address
  std::uint16_t Port = 0;
  core::FailureDomainId Domain;
  core::VersionId Version; ///< of its software or model weights
  unsigned Slots = 1;      ///< requests that it runs concurrently
  bool Draining = false;   ///< shuts down soon and accepts no new requests
  /// Unix time of its start. A later start under the same id is a new
  /// incarnation, without the state of the earlier one.
  core::Millis StartedAt;
  /// Number of the entry within the incarnation; a later entry has a higher
  /// one.
  std::uint64_t Sequence = 0;
  core::Millis ColdRemaining; ///< rest of its cold phase, as of the entry
  friend auto operator<=>(const BackendServer &,
                          const BackendServer &) = default;
};

} // namespace cowslipridge::membership
