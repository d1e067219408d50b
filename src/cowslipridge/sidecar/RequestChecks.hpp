#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/rpc/Messages.hpp"

#include <optional>
#include <vector>

/// The sidecar: the only access to one runner. It checks each request before
/// the runner gets it.
namespace cowslipridge::sidecar {

/// The state of this sidecar that the checks depend on.
struct AdmissionContext {
  core::ServiceId Service;
  std::vector<core::VersionId> Versions;         ///< that the runner serves
  const config::Bundle *Configuration = nullptr; ///< null: none yet
  bool IsDraining = false;                       ///< refuses all requests
};

/// Returns the reason why a request may not run on this sidecar now, or nothing
/// if it may run. Does not rely on checks by the sender.
std::optional<core::Errc> findRefusal(const rpc::RunRequest &request,
                                      const AdmissionContext &context);

} // namespace cowslipridge::sidecar
