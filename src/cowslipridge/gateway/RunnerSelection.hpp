#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/gateway/PromptLocation.hpp"
#include "cowslipridge/limits/Ejections.hpp"
#include "cowslipridge/limits/RejectionRates.hpp"
#include "cowslipridge/limits/RunnerBackoff.hpp"
#include "cowslipridge/limits/RunnerRateLimits.hpp"
#include "cowslipridge/membership/ServerRegistry.hpp"
#include "cowslipridge/rollout/TrialControl.hpp"
#include "cowslipridge/route/ModelCascade.hpp"
#include "cowslipridge/route/ModelPools.hpp"
#include "cowslipridge/route/PrefillForecast.hpp"
#include "cowslipridge/route/PromptCache.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowslipridge::gateway {

/// The state that a selection reads; must outlive it.
struct SelectionInputs {
  const membership::ServerRegistry &Servers;
  const rollout::TrialControl &Trials;
  const limits::Ejections &Ejections;
  const limits::RunnerRateLimits &RateLimits;
  const limits::RunnerBackoff &Backoff;
  const limits::RejectionRates &Rejections;
  const route::PrefillForecast &Forecast;
  const route::PromptCache &Cache;
};

/// Chooses the runner for a request: the one with the best forecast among the
/// healthy runners of the right version in the pool of the model.
class RunnerSelection {
public:
  struct Candidate {
    const membership::BackendServer *Server = nullptr;
    std::uint64_t UncachedTokens = 0; ///< that the runner has to prefill
    /// The runner from which the cached prefix is fetched; null if none is.
    const membership::BackendServer *PrefixSource = nullptr;
    std::uint64_t FetchedTokens = 0;
    core::Millis FirstToken;
    double Score = 0; ///< milliseconds; lower is better
  };

  RunnerSelection(const config::GatewaySettings &settings,
                  const SelectionInputs &inputs);

  /// Returns nothing when no runner other than those in `excluded` serves the
  /// request.
  [[nodiscard]] std::optional<Candidate>
  choose(const RequestContext &request, ModelTier tier,
         const std::vector<core::RunnerId> &excluded, core::Millis now) const;
  /// Returns the time until the first runner that serves the request takes
  /// requests again; zero unless all of them asked for a backoff or reached
  /// their rate limit.
  [[nodiscard]] core::Millis timeUntilAvailable(const RequestContext &request,
                                                core::Millis now) const;
  /// Forecasts the latency of the request in the tier's pool. Returns nothing
  /// when no runner serves it.
  [[nodiscard]] std::optional<route::TierForecast>
  forecast(const RequestContext &request, std::size_t tier,
           core::Millis now) const;
  /// Records that the request is sent to the candidate.
  void onSelected(const RequestContext &request, ModelTier tier,
                  const Candidate &candidate, core::Millis now);
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
  /// Returns the runners that serve the request.
  ServerList serving(const RequestContext &request,
                     const core::ServiceId &service, core::Millis now) const;
  /// Returns those that take requests now, other than `excluded`.
  ServerList eligible(const RequestContext &request,
                      const core::ServiceId &service,
                      const std::vector<core::RunnerId> &excluded,
                      core::Millis now) const;
  void filterByVersion(const RequestContext &request,
                       const core::ServiceId &service, ServerList &servers,
                       core::Millis now) const;
  /// Returns the mean number of requests that a prefill delays at a server.
  [[nodiscard]] double congestionOf(const ServerList &servers) const;
  Candidate evaluate(const membership::BackendServer &server,
                     const PromptLocation &prompt, const std::string &model,
                     const RequestContext &request, double congestion,
                     core::Millis now) const;
  /// Lets the chosen runner fetch the cached prefix of the prompt from the one
  /// that has most of it, if that is faster than prefilling it again.
  void planTransfer(Candidate &candidate, const PromptLocation &prompt,
                    const ServerList &servers, const std::string &model,
                    const RequestContext &request) const;
  /// Returns those of `servers` that serve the tier.
  ServerList poolOf(ServerList servers, const RequestContext &request,
                    ModelTier tier) const;
  std::optional<Candidate> best(const ServerList &servers,
                                const std::string &model,
                                const RequestContext &request,
                                core::Millis now) const;
  /// Returns the best candidate of the tier's pool, or of all servers when the
  /// pool can't keep up.
  std::optional<Candidate> bestOfPool(const ServerList &servers,
                                      const std::string &model, ModelTier tier,
                                      const RequestContext &request,
                                      core::Millis now) const;

  const core::FailureDomainId Domain;
  const core::Millis SessionLifetime;
  const membership::ServerRegistry &Servers;
  const rollout::TrialControl &Trials;
  const limits::Ejections &Ejections;
  const limits::RunnerRateLimits &RateLimits;
  const limits::RunnerBackoff &Backoff;
  const limits::RejectionRates &Rejections;
  const route::PrefillForecast &Forecast;
  const route::PromptCache &Cache;
  route::ModelPools Pools;
  std::unordered_map<std::string, Pin> Pins; ///< by session id
  /// Hashes of sessions that other gateways keep on the stable version, with
  /// the time of the last report.
  std::unordered_map<std::uint64_t, core::Millis> RemotePins;
};

} // namespace cowslipridge::gateway
