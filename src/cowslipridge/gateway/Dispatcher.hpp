#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/limits/Ejections.hpp"
#include "cowslipridge/limits/RetryWindow.hpp"
#include "cowslipridge/membership/ServerRegistry.hpp"
#include "cowslipridge/rollout/TrialControl.hpp"
#include "cowslipridge/route/ModelLadder.hpp"
#include "cowslipridge/route/ModelPools.hpp"
#include "cowslipridge/route/PrefillForecast.hpp"
#include "cowslipridge/route/PromptCache.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowslipridge::gateway {

/// What gateways tell each other, several times a second.
struct PeerReport {
  core::InstanceId Gateway;
  std::map<core::RunnerId, route::ServerLoad> Loads;
  rollout::EvidenceTable Evidence;
};

/// Decides where requests go, from what this gateway and its peers know.
class Dispatcher final : public Placer {
public:
  explicit Dispatcher(const config::GatewaySettings &settings);

  // Placer.
  PlacementResult place(const RequestFacts &facts, ModelTier tier,
                        const std::vector<core::RunnerId> &excluded,
                        bool repeat, core::Millis now) override;
  ModelTier firstTier(const RequestFacts &facts, core::Millis now) override;
  ModelTier betterTier(const RequestFacts &facts, std::size_t tier,
                       int confidence, core::Millis now) override;
  void onFirstByte(std::uint64_t ticket, core::Millis now) override;
  void onEvents(std::uint64_t ticket, unsigned events,
                core::Millis now) override;
  void onEnded(std::uint64_t ticket, SendOutcome outcome,
               core::Millis now) override;

  /// A service and version for a request that is not sent yet.
  void setCatalogue(catalogue::CataloguePtr catalogue);
  [[nodiscard]] const catalogue::CataloguePtr &catalogue() const {
    return Catalogue;
  }
  membership::ServerRegistry &servers() { return Servers; }
  rollout::TrialControl &trials() { return Trials; }
  /// A runner is gone for good.
  void forgetServer(const core::RunnerId &runner);
  void setPeers(std::size_t others);
  void onPeerReport(const PeerReport &report);
  void forgetPeer(const core::InstanceId &peer);
  [[nodiscard]] PeerReport report() const;
  /// Records of roll-outs that are due; `rank` is this gateway's among those
  /// alive.
  [[nodiscard]] std::vector<rollout::TrialDecision>
  dueDecisions(std::size_t rank, core::Millis now) const;
  void tick(core::Millis now);
  /// Runners that get no requests for a while.
  [[nodiscard]] std::size_t ejected(core::Millis now) const;

private:
  struct Sending {
    core::ServiceId Service;
    core::VersionId Version;
    core::RunnerId Runner;
    std::string Route;
    bool IsStream = false;
    core::Millis SentAt;
    core::Millis Predicted;
    bool Answered = false;
  };
  struct Pin {
    core::VersionId Version;
    core::Millis UsedAt;
  };
  struct Candidate {
    const membership::BackendServer *Server = nullptr;
    std::uint64_t UncachedTokens = 0;
    core::Millis FirstToken;
    double Score = 0; ///< milliseconds; lower is better
  };

  const core::ServiceId &chooseService(const RequestFacts &facts) const;
  std::vector<const membership::BackendServer *>
  eligible(const RequestFacts &facts, const core::ServiceId &service,
           const std::vector<core::RunnerId> &excluded, core::Millis now);
  void keepVersion(const RequestFacts &facts, const core::ServiceId &service,
                   std::vector<const membership::BackendServer *> &servers,
                   core::Millis now);
  Candidate rate(const membership::BackendServer &server,
                 const std::vector<route::CacheBlock> &prompt,
                 const std::string &model, const RequestFacts &facts,
                 bool isFavourite, core::Millis now) const;
  /// Those of `servers` that serve the tier.
  std::vector<const membership::BackendServer *>
  poolOf(std::vector<const membership::BackendServer *> servers,
         ModelTier tier) const;
  std::optional<Candidate>
  best(const std::vector<const membership::BackendServer *> &servers,
       const std::string &model, const RequestFacts &facts,
       core::Millis now) const;
  /// The best of the tier's pool, or of all when the pool can't keep up.
  std::optional<Candidate>
  bestOfPool(const std::vector<const membership::BackendServer *> &servers,
             const std::string &model, ModelTier tier,
             const RequestFacts &facts, core::Millis now) const;
  Placement commit(const Candidate &candidate, const core::ServiceId &service,
                   const std::string &model, ModelTier tier,
                   const RequestFacts &facts, core::Millis now);
  std::optional<route::TierForecast>
  forecast(const RequestFacts &facts, std::size_t tier, core::Millis now);
  /// Events of the answer, as far as it can be told in advance.
  static double expectedEvents(const RequestFacts &facts,
                               const core::ServiceId &service);
  limits::RetryWindow &budget(const core::ServiceId &service);
  [[nodiscard]] rollout::EvidenceTable pooledEvidence() const;

  const config::GatewaySettings Settings;
  catalogue::CataloguePtr Catalogue;
  membership::ServerRegistry Servers;
  rollout::TrialControl Trials;
  limits::Ejections Ejections;
  route::PrefillForecast Forecast;
  route::PromptCache Cache;
  route::ModelPools Pools;
  std::map<core::ServiceId, limits::RetryWindow> Budgets;
  std::unordered_map<std::uint64_t, Sending> Sendings;
  std::unordered_map<std::string, Pin> Pins; ///< of sessions
  rollout::EvidenceTable OwnEvidence;
  std::map<core::InstanceId, rollout::EvidenceTable> PeerEvidence;
  std::size_t Gateways = 1;
  std::uint64_t NextTicket = 1;
};

} // namespace cowslipridge::gateway
