#include "cowslipridge/rollout/ExposureGuard.hpp"

#include "cowslipridge/rollout/ExposureGuardState.hpp"

namespace cowslipridge::rollout {

ExposureGuard::ExposureGuard(EvidenceSource self, std::uint64_t /*seed*/)
    : Internals(std::make_unique<State>(std::move(self))) {}

ExposureGuard::~ExposureGuard() = default;

void ExposureGuard::configure(const config::ServiceDeclaration &service) {
  Internals->configure(service);
}

bool ExposureGuard::admits(const core::VersionId &version,
                           const core::OrganisationId &organisation) const {
  return Internals->admits(version, organisation);
}

void ExposureGuard::onStart(const core::RequestId &request,
                            const core::VersionId &version,
                            const core::OrganisationId &organisation,
                            core::Millis now) {
  Internals->onStart(request, version, organisation, now);
}

void ExposureGuard::onNotRun(const core::RequestId &request) {
  Internals->onNotRun(request);
}

RolloutActions ExposureGuard::onGrade(const core::RequestId &request,
                                      double score, core::Millis now) {
  return Internals->onGrade(request, score, now);
}

RolloutActions ExposureGuard::onEvidence(const EvidenceRecord &record,
                                         core::Millis /*now*/) {
  return Internals->onEvidence(record);
}

void ExposureGuard::onCutOff(const CutOff &cutOff) {
  Internals->onCutOff(cutOff);
}

void ExposureGuard::setPeers(unsigned rank, unsigned count) {
  Internals->setPeers(rank, count);
}

void ExposureGuard::advance(core::Millis now) { Internals->advance(now); }

void ExposureGuard::setStep(unsigned step) { Internals->setStep(step); }

double ExposureGuard::trialShare() const { return Internals->trialShare(); }

std::vector<CutOff> ExposureGuard::cutOffs() const {
  return Internals->cutOffs();
}

std::vector<EvidenceRecord>
ExposureGuard::takeChangedEvidence(std::size_t limit) {
  return Internals->takeChangedEvidence(limit);
}

} // namespace cowslipridge::rollout
