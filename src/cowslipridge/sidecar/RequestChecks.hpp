#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/rpc/Messages.hpp"

#include <optional>
#include <vector>

/// The only door to one runner: the last place that checks each request.
namespace cowslipridge::sidecar {

/// What the checks need to know of this sidecar.
struct DoorState {
  core::ServiceId Service;
  std::vector<core::VersionId> Versions;         ///< that the runner serves
  const config::Bundle *Configuration = nullptr; ///< null: none yet
  bool Refusing = false;                         ///< the instance is leaving
};

/// Why a request may not run here now, whatever its sender believed; nothing
/// when it may.
std::optional<core::Errc> findRefusal(const rpc::RunRequest &request,
                                      const DoorState &door);

} // namespace cowslipridge::sidecar
