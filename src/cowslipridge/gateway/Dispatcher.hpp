#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/gateway/AdmissionOrder.hpp"
#include "cowslipridge/gateway/CrashWatch.hpp"
#include "cowslipridge/gateway/EscalationPolicy.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/gateway/RunnerEligibility.hpp"
#include "cowslipridge/gateway/RunnerSelection.hpp"
#include "cowslipridge/limits/Ejections.hpp"
#include "cowslipridge/limits/RejectionRates.hpp"
#include "cowslipridge/limits/RetryWindow.hpp"
#include "cowslipridge/limits/RunnerBackoff.hpp"
#include "cowslipridge/limits/RunnerRateLimits.hpp"
#include "cowslipridge/membership/ColdRunners.hpp"
#include "cowslipridge/membership/Evacuations.hpp"
#include "cowslipridge/membership/ServerRegistry.hpp"
#include "cowslipridge/rollout/TrialControl.hpp"
#include "cowslipridge/rollout/VersionEvidence.hpp"
#include "cowslipridge/route/PrefillForecast.hpp"
#include "cowslipridge/route/PromptCache.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowslipridge::gateway {

/// The runner to which a prompt was sent, by the hash of its last shared block.
struct PromptPlacement {
  std::uint64_t Block = 0;
  core::RunnerId Runner;
  friend auto operator<=>(const PromptPlacement &,
                          const PromptPlacement &) = default;
};

/// The state that gateways send to their peers, several times a second.
struct PeerReport {
  core::InstanceId Gateway;
  std::map<core::RunnerId, route::ServerLoad> Loads;
  rollout::RouteEvidenceTable Evidence;
  /// Hashes of the ids of sessions that a roll-out doesn't move to its target.
  std::vector<std::uint64_t> PinnedSessions;
  /// Set while the gateway drains: its process exits within this time.
  std::optional<core::Millis> ExitsWithin;
  core::Generation Configuration; ///< in force at the gateway; 0 if none
  std::vector<rollout::RolloutKnowledge> Rollouts;
  /// Prompts that were sent since the previous report.
  std::vector<PromptPlacement> Prompts;
  CrashReport Crashes;
  std::vector<limits::ReportedRateLimit> RateLimits;
  membership::ColdReport Cold;
  /// Failure domains that operators have evacuated, as the store shows.
  std::set<core::FailureDomainId> Evacuated;
};

/// Receives an ejection or readmission, with the outcome of the attempt that
/// caused it.
using EjectionListener =
    std::function<void(const limits::EjectionChange &, AttemptOutcome)>;

/// Receives what runners state about themselves, when it is new.
using RunnerNoticeListener = std::function<void(const RunnerNotice &)>;

/// Decides where requests go, from what this gateway and its peers know.
class Dispatcher final : public PlacementPolicy {
public:
  explicit Dispatcher(const config::GatewaySettings &settings);

  // PlacementPolicy.
  PlacementResult place(const RequestContext &request, ModelTier tier,
                        const std::vector<core::RunnerId> &excluded,
                        AttemptKind kind, core::Millis now) override;
  [[nodiscard]] std::optional<NoPlacement>
  refusal(const RequestContext &request, core::Millis now) const override;
  ModelTier firstTier(const RequestContext &request, core::Millis now) override;
  EscalationDecision decideEscalation(const RequestContext &request,
                                      std::size_t tier, int confidence,
                                      core::Millis now) override;
  void onHead(std::uint64_t ticket, const ResponseAttributes &response,
              core::Millis now) override;
  [[nodiscard]] core::Millis retryAfter(const RequestContext &request,
                                        core::Millis now) const override;
  void onEvents(std::uint64_t ticket, unsigned events,
                core::Millis now) override;
  void onEnded(std::uint64_t ticket, AttemptOutcome outcome,
               core::Millis now) override;

  /// Applies a newer configuration. Requests in flight keep the one in force on
  /// their arrival.
  void setCatalogue(catalogue::CataloguePtr catalogue);
  /// Returns null until the first configuration is set.
  [[nodiscard]] const catalogue::CataloguePtr &catalogue() const {
    return Catalogue;
  }
  /// Returns the generation of the configuration in force; 0 if there is none.
  [[nodiscard]] core::Generation generation() const;
  membership::ServerRegistry &servers() { return Servers; }
  rollout::TrialControl &trials() { return Trials; }
  CrashWatch &crashes() { return Crashes; }
  membership::Evacuations &evacuations() { return Evacuated; }
  [[nodiscard]] const rollout::TrialControl &trials() const { return Trials; }
  /// Handles the entry of a runner, new or changed.
  void onServerEntry(const membership::BackendServer &server, core::Millis now);
  /// Sets the time in which this gateway is registered for certain. Not called:
  /// it is the only one.
  void setRegistration(const limits::Registration &registration);
  /// Handles the first listing of a gateway that has just started beside
  /// others: it does not know which runners were out of reach.
  void onStartedBesidePeers(core::Millis now);
  /// Applies changes of the evacuations that are due and returns the failure
  /// domains that are in service again. Their runners may be cold.
  std::vector<core::FailureDomainId> updateEvacuations(core::Millis now);
  /// Returns whether peers should learn of a change before the next report is
  /// due.
  [[nodiscard]] bool hasUrgentReport() const { return UrgentReport; }
  /// Erases what is known of a runner that was removed. What it asked for holds
  /// on, as it may be alive and only unable to reach the store.
  void removeServer(const core::RunnerId &runner);
  /// Sets the other gateways, which share retry budgets and the limits of
  /// runners with this one.
  void setPeers(const std::set<core::InstanceId> &others);
  void onPeerReport(const PeerReport &report, core::Millis now);
  /// Erases the load of a peer that was removed or timed out. Its evidence
  /// still counts.
  void removePeerLoad(const core::InstanceId &peer);
  /// Returns the report to send to peers.
  [[nodiscard]] PeerReport report(core::Millis now) const;
  /// Handles that the report was sent to the peers: the next one leaves out the
  /// prompts in it.
  void onReportSent() {
    NewPrompts.clear();
    UrgentReport = false;
  }
  /// Returns the decisions on roll-outs that are due. `rank` is the rank of
  /// this gateway among those alive.
  [[nodiscard]] std::vector<rollout::TrialDecision>
  dueDecisions(std::size_t rank, core::Millis now) const;
  /// Erases expired sessions. To be called several times a second.
  void tick(core::Millis now);
  /// Returns the number of runners that are ejected now.
  [[nodiscard]] std::size_t ejected(core::Millis now) const;
  /// Returns the number of runners that named a rate limit.
  [[nodiscard]] std::size_t rateLimited() const { return RateLimits.limited(); }
  /// Returns the number of runners that are limited because they are cold.
  [[nodiscard]] std::size_t coldRunners() const { return RateLimits.cold(); }
  /// The listener is called for each runner that is ejected or readmitted.
  void setEjectionListener(EjectionListener listener) {
    OnEjection = std::move(listener);
  }
  /// The listener is called for each new statement of a runner about itself.
  void setRunnerNoticeListener(RunnerNoticeListener listener) {
    OnRunnerNotice = std::move(listener);
  }
  /// Returns the number of attempts of this gateway without a first byte, by
  /// service.
  [[nodiscard]] std::map<core::ServiceId, unsigned> waiting() const;
  /// Returns the number of retries that the budgets of this gateway allow now,
  /// by service.
  [[nodiscard]] std::map<core::ServiceId, double>
  remainingRetries(core::Millis now);
  /// Returns what these numbers result from.
  [[nodiscard]] std::map<core::ServiceId, limits::RetryWindowState>
  retryBudgets(core::Millis now);
  /// Returns the sum of the evidence of this gateway and of its peers' reports.
  [[nodiscard]] rollout::RouteEvidenceTable pooledEvidence() const {
    return Evidence.pooled();
  }

private:
  /// An attempt that has not ended.
  struct ActiveAttempt {
    core::ServiceId Service;
    core::VersionId Version;
    core::RunnerId Runner;
    core::Millis RunnerStartedAt; ///< identifies its incarnation
    std::string Route;
    bool IsStream = false;
    core::Millis SentAt;
    core::Millis Predicted; ///< for a runner of usual speed
    bool HasResponse = false;
    bool Answered = false; ///< with a success
    // Of a stream: its events, how many came with the first of them, and the
    // other requests at the runner when it was sent.
    unsigned FirstEvents = 0;
    unsigned Events = 0;
    unsigned OtherRequests = 0;
    core::Millis FirstEventAt;
    core::Millis LastEventAt;

    [[nodiscard]] rollout::RouteEvidenceKey evidenceKey() const {
      return {Service, Version, Route};
    }
  };

  /// Charges the attempt to the retry budget, or returns why it can't be.
  std::optional<NoPlacement> chargeRetry(const RequestContext &request,
                                         const limits::Retry &retry,
                                         core::Millis now);
  /// Builds the placement, with its limits and timeouts.
  Placement makePlacement(const RunnerSelection::Candidate &candidate,
                          ModelTier tier, const RequestContext &request,
                          core::Millis now);
  /// Returns the part of the forecast that is due to other requests.
  [[nodiscard]] core::Millis waitAt(const RunnerSelection::Candidate &candidate,
                                    const std::string &model) const;
  /// Builds the placement and records the attempt.
  Placement commit(const RunnerSelection::Candidate &candidate, ModelTier tier,
                   const RequestContext &request, core::Millis now);
  /// Handles the statements of the runner about itself.
  void onNotices(const ActiveAttempt &attempt,
                 const ResponseAttributes &response, core::Millis now);
  void onRateLimit(const core::RunnerId &runner,
                   const ResponseAttributes &response, core::Millis now);
  void onStatement(const limits::RateLimitStatement &statement, core::Millis at,
                   core::Millis now);
  /// Handles an attempt that did not reach its runner.
  void onUnreachable(const ActiveAttempt &attempt, core::Millis now);
  /// Handles a response: the runner is within reach.
  void onResponsive(const ActiveAttempt &attempt, core::Millis now);
  void onDomainReturned(const core::FailureDomainId &domain, core::Millis now);
  void assumeAllCold(core::Millis now);
  /// Limits the runner's load according to how far it has warmed up.
  void limitByWarmth(const membership::BackendServer &server, core::Millis now);
  [[nodiscard]] const catalogue::Service *
  declaredServiceOf(const membership::BackendServer &server) const;
  /// Returns the cold phase of the runner's service; zero if it has none.
  [[nodiscard]] core::Millis coldStartOf(const core::RunnerId &runner) const;
  void onFirstByte(std::uint64_t ticket, ActiveAttempt &attempt,
                   core::Millis now);
  /// Returns what the end of an attempt shows about its version.
  [[nodiscard]] rollout::AnswerCounts countsOf(const ActiveAttempt &attempt,
                                               AttemptOutcome outcome,
                                               core::Millis now) const;
  /// Records how fast a complete stream was.
  void recordInterval(const ActiveAttempt &attempt,
                      rollout::AnswerCounts &counts) const;
  /// Records which versions serve, by the runners that are registered.
  void recordServingVersions(core::Millis now);
  void reportNotice(const RunnerNotice &notice);
  /// Records that the runner reads the prompt.
  void recordPrompt(const std::vector<route::CacheBlock> &prompt,
                    const core::RunnerId &runner);
  limits::RetryWindow &budget(const core::ServiceId &service);
  void reportEjection(const std::optional<limits::EjectionChange> &change,
                      AttemptOutcome outcome);

  const config::GatewaySettings Settings;
  catalogue::CataloguePtr Catalogue;
  EjectionListener OnEjection;
  RunnerNoticeListener OnRunnerNotice;
  membership::ServerRegistry Servers;
  membership::ColdRunners Cold;
  membership::Evacuations Evacuated;
  rollout::TrialControl Trials;
  limits::Ejections Ejections;
  limits::RunnerBackoff Backoff;
  limits::RunnerRateLimits RateLimits;
  limits::RejectionRates Rejections;
  CrashWatch Crashes;
  route::PrefillForecast Forecast;
  route::PromptCache Cache;
  RunnerEligibility Eligibility;
  RunnerSelection Selection;
  EscalationPolicy Escalations;
  AdmissionOrder Order;
  std::map<core::ServiceId, limits::RetryWindow> Budgets;
  std::optional<limits::Registration> Registered;
  std::unordered_map<std::uint64_t, ActiveAttempt> ActiveAttempts;
  std::vector<PromptPlacement> NewPrompts; ///< not yet reported to peers
  rollout::VersionEvidence Evidence;
  std::size_t Gateways = 1;
  bool UrgentReport = false;
  std::optional<core::Millis> StartedBesidePeersAt;
  std::uint64_t NextTicket = 1;
};

} // namespace cowslipridge::gateway
