#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace cowslipridge::membership {

/// One start of a runner, as it registered itself.
struct BackendServer {
  core::RunnerId Id;
  core::ServiceId Service;
  std::string Host; ///< numeric
  std::uint16_t Port = 0;
  core::FailureDomainId Domain;
  core::VersionId Version; ///< of its software or model weights
  unsigned Slots = 1;      ///< requests that it runs at once
  bool Draining = false;   ///< it leaves soon and takes no new requests
  /// Unix time of its start; a later one under the same id knows nothing of
  /// before.
  core::Millis StartedAt;
  friend auto operator<=>(const BackendServer &,
                          const BackendServer &) = default;
};

} // namespace cowslipridge::membership
