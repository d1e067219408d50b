#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/limits/Ejections.hpp"
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

/// What a selection is made from; must outlive it.
struct SelectionInputs {
  const membership::ServerRegistry &Servers;
  const rollout::TrialControl &Trials;
  const limits::Ejections &Ejections;
  const route::PrefillForecast &Forecast;
  const route::PromptCache &Cache;
};

/// Chooses the runner for a request: of the right version, sound, in the pool
/// of its model, with the best forecast.
class RunnerSelection {
public:
  struct Candidate {
    const membership::BackendServer *Server = nullptr;
    std::uint64_t UncachedTokens = 0;
    core::Millis FirstToken;
    double Score = 0; ///< milliseconds; lower is better
  };

  RunnerSelection(const config::GatewaySettings &settings,
                  const SelectionInputs &inputs);

  /// Nothing when no runner serves the request, besides `excluded`.
  [[nodiscard]] std::optional<Candidate>
  choose(const RequestFacts &facts, ModelTier tier,
         const std::vector<core::RunnerId> &excluded, core::Millis now) const;
  /// What the tier's pool could do for the request now.
  [[nodiscard]] std::optional<route::TierForecast>
  forecast(const RequestFacts &facts, std::size_t tier, core::Millis now) const;
  /// The request goes to the candidate.
  void taken(const RequestFacts &facts, ModelTier tier,
             const Candidate &candidate, core::Millis now);
  /// Sessions under way that a roll-out would move, though they stay where they
  /// are through its first half; by the hashes of their ids, for other
  /// gateways.
  [[nodiscard]] std::vector<std::uint64_t>
  stayingSessions(core::Millis now) const;
  /// What another gateway says of them.
  void keepSessions(const std::vector<std::uint64_t> &hashes, core::Millis now);
  void tick(core::Millis now);

private:
  using ServerList = std::vector<const membership::BackendServer *>;
  struct Pin {
    core::ServiceId Service;
    core::VersionId Version;
    core::Millis UsedAt;
  };

  ServerList eligible(const RequestFacts &facts, const core::ServiceId &service,
                      const std::vector<core::RunnerId> &excluded,
                      core::Millis now) const;
  void keepVersion(const RequestFacts &facts, const core::ServiceId &service,
                   ServerList &servers, core::Millis now) const;
  Candidate rate(const membership::BackendServer &server,
                 const std::vector<route::CacheBlock> &prompt,
                 const std::string &model, const RequestFacts &facts,
                 bool isFavourite, core::Millis now) const;
  /// Those of `servers` that serve the tier.
  ServerList poolOf(ServerList servers, ModelTier tier) const;
  std::optional<Candidate> best(const ServerList &servers,
                                const std::string &model,
                                const RequestFacts &facts,
                                core::Millis now) const;
  /// The best of the tier's pool, or of all when the pool can't keep up.
  std::optional<Candidate> bestOfPool(const ServerList &servers,
                                      const std::string &model, ModelTier tier,
                                      const RequestFacts &facts,
                                      core::Millis now) const;

  const core::FailureDomainId Domain;
  const core::Millis SessionLifetime;
  const membership::ServerRegistry &Servers;
  const rollout::TrialControl &Trials;
  const limits::Ejections &Ejections;
  const route::PrefillForecast &Forecast;
  const route::PromptCache &Cache;
  route::ModelPools Pools;
  std::unordered_map<std::string, Pin> Pins; ///< of sessions
  /// Sessions that stay on the stable version elsewhere, and when it was heard.
  std::unordered_map<std::uint64_t, core::Millis> Staying;
};

} // namespace cowslipridge::gateway
