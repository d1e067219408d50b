#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/gateway/PromptLocation.hpp"
#include "cowslipridge/limits/Ejections.hpp"
#include "cowslipridge/limits/RunnerBackoff.hpp"
#include "cowslipridge/limits/RunnerRateLimits.hpp"
#include "cowslipridge/membership/Evacuations.hpp"
#include "cowslipridge/membership/ServerRegistry.hpp"
#include "cowslipridge/rollout/TrialControl.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowslipridge::gateway {

/// The state that decides on eligibility; must outlive it.
struct EligibilityInputs {
  const membership::ServerRegistry &Servers;
  const membership::Evacuations &Evacuated;
  const rollout::TrialControl &Trials;
  const limits::Ejections &Ejections;
  const limits::RunnerRateLimits &RateLimits;
  const limits::RunnerBackoff &Backoff;
};

/// Decides which runners may get a request: the only place that does, for first
/// attempts, retries, escalations, resumed streams and prefix transfers alike.
class RunnerEligibility {
public:
  RunnerEligibility(const config::GatewaySettings &settings,
                    const EligibilityInputs &inputs);

  /// Returns the runners that take the request now, other than `excluded`.
  [[nodiscard]] ServerList eligible(const RequestContext &request,
                                    const std::vector<core::RunnerId> &excluded,
                                    core::Millis now) const;
  /// Returns the time until the first runner that serves the request takes
  /// requests again; zero unless all of them asked for a backoff, reached their
  /// rate limit or are evacuated.
  [[nodiscard]] core::Millis timeUntilAvailable(const RequestContext &request,
                                                core::Millis now) const;
  /// Records that the request is sent to the runner: its session stays on the
  /// version.
  void onSelected(const RequestContext &request,
                  const membership::BackendServer &server, core::Millis now);
  /// Returns the hashes of the ids of active sessions that a roll-out targets,
  /// but which stay on their version through its first half. Other gateways
  /// need them.
  [[nodiscard]] std::vector<std::uint64_t>
  pinnedSessions(core::Millis now) const;
  /// Adds the sessions that another gateway has pinned.
  void addRemotePins(const std::vector<std::uint64_t> &hashes,
                     core::Millis now);
  /// Erases expired sessions.
  void tick(core::Millis now);

private:
  struct Pin {
    core::ServiceId Service;
    core::VersionId Version;
    core::Millis UsedAt;
  };

  /// Returns the time until the runner takes a request of this gateway.
  [[nodiscard]] core::Millis
  unavailableFor(const membership::BackendServer &server,
                 core::Millis now) const;
  /// Returns those of `servers` that take requests of this gateway now. When
  /// the limits of all are used up, those with a limit that is only assumed.
  [[nodiscard]] ServerList available(const ServerList &servers,
                                     core::Millis now) const;
  /// Returns the runners that serve the request.
  [[nodiscard]] ServerList serving(const RequestContext &request,
                                   core::Millis now) const;
  void filterByVersion(const RequestContext &request,
                       const core::ServiceId &service, ServerList &servers,
                       core::Millis now) const;
  /// Returns whether the request may run in the region of the runner.
  [[nodiscard]] bool isAtHome(const RequestContext &request,
                              const membership::BackendServer &server) const;

  const std::map<core::FailureDomainId, std::string> Regions;
  const core::Millis SessionLifetime;
  const membership::ServerRegistry &Servers;
  const membership::Evacuations &Evacuated;
  const rollout::TrialControl &Trials;
  const limits::Ejections &Ejections;
  const limits::RunnerRateLimits &RateLimits;
  const limits::RunnerBackoff &Backoff;
  std::unordered_map<std::string, Pin> Pins; ///< by session id
  /// Hashes of sessions that other gateways keep on the stable version, with
  /// the time of the last report.
  std::unordered_map<std::uint64_t, core::Millis> RemotePins;
};

} // namespace cowslipridge::gateway
