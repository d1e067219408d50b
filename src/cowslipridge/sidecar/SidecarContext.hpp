#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/ledger/Ledger.hpp"
#include "cowslipridge/limits/Admission.hpp"
#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/rollout/ExposureGuard.hpp"
#include "cowslipridge/rpc/EventLoop.hpp"
#include "cowslipridge/rpc/Messages.hpp"
#include "cowslipridge/runner/Runner.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cowslipridge::sidecar {

struct SidecarSettings {
  core::InstanceId Instance;
  core::Incarnation Start;
  core::ServiceId Service;
  std::vector<core::VersionId> Versions;
  core::Millis TickInterval{25};
  core::Millis PauseLimit{500};
};

/// Opens the journal; called once the service's declaration is known.
using OpenJournal = std::function<std::shared_ptr<ledger::Ledger>(
    const config::ServiceDeclaration &service)>;

/// Creates the client of the runner; called once the service's kind is known.
using OpenRunner =
    std::function<std::shared_ptr<runner::Runner>(config::ServiceKind kind)>;

/// The state that the parts of a sidecar share. Used only on the loop's thread.
struct SidecarContext {
  rpc::EventLoop &Loop;
  const core::Clock &Time;
  observe::EventLog &Events;
  const SidecarSettings Settings;

  // Set with the first configuration.
  std::shared_ptr<runner::Runner> Backend;
  std::shared_ptr<const config::Bundle> Configuration;
  std::shared_ptr<ledger::Ledger> Journal;
  std::unique_ptr<limits::Admission> AdmissionControl;

  std::unique_ptr<rollout::ExposureGuard> Guard;
  bool AnnouncesDraining = false; ///< reported in every status
  bool IsDraining = false; ///< requests that have not started are refused

  [[nodiscard]] core::Millis now() const { return Time.monotonic(); }
  /// Returns the declaration of this sidecar's service, or null if no
  /// configuration declares it yet.
  [[nodiscard]] const config::ServiceDeclaration *service() const {
    return Configuration ? Configuration->findService(Settings.Service)
                         : nullptr;
  }
};

} // namespace cowslipridge::sidecar
