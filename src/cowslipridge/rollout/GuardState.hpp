#pragma once

#include "cowslipridge/rollout/CreditWindow.hpp"
#include "cowslipridge/rollout/ExposureGuard.hpp"
#include "cowslipridge/rollout/QualityTest.hpp"

#include <map>
#include <optional>
#include <set>

namespace cowslipridge::rollout {

/// The decisions behind ExposureGuard.
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
  /// Version and organisation; an empty organisation means all of them.
  using Scope = std::pair<core::VersionId, core::OrganisationId>;
  struct Started {
    core::VersionId Version;
    core::OrganisationId Organisation;
    core::Millis At;
  };

  bool isTrial(const core::VersionId &version) const;
  bool isCutOff(const core::VersionId &version,
                const core::OrganisationId &organisation) const;
  GradeTotals totals(const core::VersionId &version,
                     const core::OrganisationId &organisation) const;
  std::optional<double> baselineBound(const Scope &scope) const;
  std::optional<double> ownBound(const Scope &scope);
  std::optional<double> boundOf(const Scope &scope);
  double thresholdOf(const Scope &scope) const;
  RolloutActions judge(const EvidenceKey &key);
  void judgeScope(const Scope &scope, RolloutActions &actions);
  void updateTrust();
  void judgeStep(RolloutActions &actions);
  std::size_t fleetWindow() const;
  std::size_t ownWindow() const;
  void count(const Started &started, std::optional<double> score);
  void forgetOld(core::Millis now);

  EvidenceSource Self;
  config::ServiceDeclaration Service;
  EvidenceTable Evidence;
  std::map<EvidenceKey, EvidenceCounters> Own;
  std::map<core::RequestId, Started> InFlight;
  std::map<Scope, QualityTest> Tests;
  std::map<Scope, GradeTotals> OwnBaselines;
  std::map<Scope, CutOff> CutOffs;
  CreditWindow Credits;
  double Trust = 0; ///< 0..1: how fast the window may grow
  unsigned Step = 0;
  std::uint64_t StepBase = 0; ///< trial grades when the step began
  bool StepDone = false;
  unsigned PeerRank = 0;
  unsigned PeerCount = 1;
  core::Millis NextForget;
};

} // namespace cowslipridge::rollout
