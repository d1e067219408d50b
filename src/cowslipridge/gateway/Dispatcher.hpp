#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/gateway/RunnerSelection.hpp"
#include "cowslipridge/limits/Ejections.hpp"
#include "cowslipridge/limits/RetryWindow.hpp"
#include "cowslipridge/membership/ServerRegistry.hpp"
#include "cowslipridge/rollout/TrialControl.hpp"
#include "cowslipridge/route/PrefillForecast.hpp"
#include "cowslipridge/route/PromptCache.hpp"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowslipridge::gateway {

/// What gateways tell each other, several times a second.
struct PeerReport {
  core::InstanceId Gateway;
  std::map<core::RunnerId, route::ServerLoad> Loads;
  rollout::RouteEvidenceTable Evidence;
  /// Sessions that a roll-out does not move, by the hashes of their ids.
  std::vector<std::uint64_t> StayingSessions;
  /// The gateway leaves, and its process ends after this time at the latest.
  std::optional<core::Millis> EndsIn;
};

/// Hears of an ejection and of the sending that settled it.
using EjectionListener =
    std::function<void(const limits::EjectionChange &, SendOutcome)>;

/// Decides where requests go, from what this gateway and its peers know.
class Dispatcher final : public Placer {
public:
  explicit Dispatcher(const config::GatewaySettings &settings);

  // Placer.
  PlacementResult place(const RequestFacts &facts, ModelTier tier,
                        const std::vector<core::RunnerId> &excluded,
                        SendKind kind, core::Millis now) override;
  ModelTier firstTier(const RequestFacts &facts, core::Millis now) override;
  TierChoice betterTier(const RequestFacts &facts, std::size_t tier,
                        int confidence, core::Millis now) override;
  void onFirstByte(std::uint64_t ticket, core::Millis now) override;
  void onEvents(std::uint64_t ticket, unsigned events,
                core::Millis now) override;
  void onEnded(std::uint64_t ticket, SendOutcome outcome,
               core::Millis now) override;

  /// Takes a newer configuration; requests keep the one they began with.
  void setCatalogue(catalogue::CataloguePtr catalogue);
  /// Null until one is known.
  [[nodiscard]] const catalogue::CataloguePtr &catalogue() const {
    return Catalogue;
  }
  membership::ServerRegistry &servers() { return Servers; }
  rollout::TrialControl &trials() { return Trials; }
  [[nodiscard]] const rollout::TrialControl &trials() const { return Trials; }
  /// A runner is gone for good.
  void forgetServer(const core::RunnerId &runner);
  /// How many gateways share budgets and connection limits with this one.
  void setPeers(std::size_t others);
  void onPeerReport(const PeerReport &report, core::Millis now);
  /// A peer is gone or silent: its load no longer counts, its evidence does.
  void forgetPeer(const core::InstanceId &peer);
  /// What peers are to know.
  [[nodiscard]] PeerReport report(core::Millis now) const;
  /// Records of roll-outs that are due; `rank` is this gateway's among those
  /// alive.
  [[nodiscard]] std::vector<rollout::TrialDecision>
  dueDecisions(std::size_t rank, core::Millis now) const;
  /// Forgets what is too old; call several times a second.
  void tick(core::Millis now);
  /// Runners that get no requests for a while.
  [[nodiscard]] std::size_t ejected(core::Millis now) const;
  /// Hears of each runner that is ejected or serves again.
  void onEjections(EjectionListener listener) {
    HearsEjections = std::move(listener);
  }
  /// Requests of this gateway that wait for their first token, by service.
  [[nodiscard]] std::map<core::ServiceId, unsigned> waiting() const;
  /// Repeats that this gateway may send now, by service.
  [[nodiscard]] std::map<core::ServiceId, double> retriesLeft(core::Millis now);
  /// Of this gateway and all that its peers have told.
  [[nodiscard]] rollout::RouteEvidenceTable pooledEvidence() const;

private:
  /// A request that a runner has.
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

  /// Where the candidate is and what the request may use of it.
  Placement describe(const RunnerSelection::Candidate &candidate,
                     ModelTier tier, const RequestFacts &facts,
                     core::Millis now);
  /// Notes that the request goes to the candidate.
  Placement commit(const RunnerSelection::Candidate &candidate, ModelTier tier,
                   const RequestFacts &facts, core::Millis now);
  limits::RetryWindow &budget(const core::ServiceId &service);
  void noteEjection(const std::optional<limits::EjectionChange> &change,
                    SendOutcome outcome);

  const config::GatewaySettings Settings;
  catalogue::CataloguePtr Catalogue;
  EjectionListener HearsEjections;
  membership::ServerRegistry Servers;
  rollout::TrialControl Trials;
  limits::Ejections Ejections;
  route::PrefillForecast Forecast;
  route::PromptCache Cache;
  RunnerSelection Selection;
  std::map<core::ServiceId, limits::RetryWindow> Budgets;
  std::unordered_map<std::uint64_t, Sending> Sendings;
  rollout::RouteEvidenceTable OwnEvidence;
  std::map<core::InstanceId, rollout::RouteEvidenceTable> PeerEvidence;
  std::size_t Gateways = 1;
  std::uint64_t NextTicket = 1;
};

} // namespace cowslipridge::gateway
