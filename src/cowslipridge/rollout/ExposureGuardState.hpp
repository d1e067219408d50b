#pragma once

#include "cowslipridge/rollout/CreditWindow.hpp"
#include "cowslipridge/rollout/ExposureGuard.hpp"
#include "cowslipridge/rollout/SequentialMeanTest.hpp"

#include <map>
#include <optional>
#include <set>

namespace cowslipridge::rollout {

/// Implementation of ExposureGuard.
class ExposureGuard::State {
public:
  explicit State(EvidenceSource self) : Self(std::move(self)) {}

  void configure(const config::ServiceDeclaration &service);
  bool admits(const core::VersionId &version,
              const core::OrganisationId &organisation) const;
  void onStart(const core::RequestId &request, const core::VersionId &version,
               const core::OrganisationId &organisation, core::Millis now);
  void onNotRun(const core::RequestId &request);
  RolloutActions onGrade(const core::RequestId &request, double score,
                         core::Millis now);
  RolloutActions onEvidence(const EvidenceRecord &record);
  void onCutOff(const CutOff &cutOff);
  void advance(core::Millis now);
  void setStep(unsigned step);
  void setPeers(unsigned rank, unsigned count);
  double trialShare() const;
  std::vector<CutOff> cutOffs() const;
  std::vector<EvidenceRecord> takeChangedEvidence(std::size_t limit);

private:
  /// Version and organisation; an empty organisation stands for all of them.
  using Scope = std::pair<core::VersionId, core::OrganisationId>;
  struct StartedRequest {
    core::VersionId Version;
    core::OrganisationId Organisation;
    core::Millis At;
  };

  bool isTrial(const core::VersionId &version) const;
  bool isCutOff(const core::VersionId &version,
                const core::OrganisationId &organisation) const;
  GradeTotals totals(const core::VersionId &version,
                     const core::OrganisationId &organisation) const;
  std::optional<double> trialBound(const Scope &scope) const;
  std::optional<double> steadyBound(const Scope &scope);
  std::optional<double> boundOf(const Scope &scope);
  double thresholdOf(const Scope &scope) const;
  RolloutActions evaluate(const EvidenceKey &key);
  void evaluateScope(const Scope &scope, RolloutActions &actions);
  double confidenceIn(const core::OrganisationId &organisation) const;
  void evaluateStep(RolloutActions &actions);
  bool hasCredit(const CreditWindow &credits,
                 const core::OrganisationId &organisation) const;
  void count(const StartedRequest &started, std::optional<double> score);
  void expireUngraded(core::Millis now);

  EvidenceSource Self;
  config::ServiceDeclaration Service;
  EvidenceTable Evidence;
  std::map<EvidenceKey, EvidenceCounters> LocalCounters;
  std::map<core::RequestId, StartedRequest> InFlight;
  std::map<Scope, SequentialMeanTest> Tests;
  std::map<Scope, GradeTotals> SteadyBaselines;
  std::map<Scope, CutOff> CutOffs;
  CreditWindow TotalCredits;
  std::map<core::OrganisationId, CreditWindow> CreditsByOrganisation;
  /// Confidence in the trial version by organisation, 0..1: the number of
  /// credits that each grade adds to the window. The empty organisation stands
  /// for all.
  std::map<core::OrganisationId, double> Confidence;
  unsigned Step = 0;
  std::uint64_t GradesAtStepStart = 0; ///< of the trial version
  bool StepComplete = false;
  unsigned PeerRank = 0;
  unsigned PeerCount = 1;
  core::Millis NextExpiry;
};

} // namespace cowslipridge::rollout
