#include "cowslipridge/rollout/GuardState.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::rollout {

namespace {

constexpr double MicroPerUnit = 1e6;
constexpr double BadScoreBelow = 0.5;
/// Grades of the replaced version that a comparison needs.
constexpr std::uint64_t MinBaselineGrades = 20;
/// Standard errors of the replaced version's mean that a comparison concedes.
constexpr double BaselineMargin = 1.5;
/// Grades that fix the quality a version in steady service is held to.
constexpr std::uint64_t OwnBaselineGrades = 200;
/// Loss and false cut-off for versions without a roll-out.
constexpr double SteadyMaxLoss = 0.1;
constexpr double SteadyFalseCutOff = 0.001;
/// Part of the cut-off threshold at which the window stops growing.
constexpr double DistrustAt = 0.5;
/// Ungraded requests are forgotten after this long; later grades are ignored.
constexpr core::Millis ForgetAfter{900'000};
constexpr core::Millis ForgetInterval{10'000};

double marginOf(const GradeTotals &totals) {
  const double mean = totals.mean();
  const double variance = std::max(0.01, mean * (1 - mean));
  return BaselineMargin *
         std::sqrt(variance / static_cast<double>(totals.Grades));
}

bool sameVersions(const std::optional<config::RolloutDeclaration> &a,
                  const std::optional<config::RolloutDeclaration> &b) {
  if (!a || !b)
    return a.has_value() == b.has_value();
  return a->Trial == b->Trial && a->Replaces == b->Replaces;
}

} // namespace

void ExposureGuard::State::configure(
    const config::ServiceDeclaration &service) {
  if (!sameVersions(Service.Rollout, service.Rollout)) {
    CutOffs.clear();
    Step = 0;
    StepDone = false;
    Trust = 0;
  }
  Service = service;
}

bool ExposureGuard::State::isTrial(const core::VersionId &version) const {
  return Service.Rollout && Service.Rollout->Trial == version;
}

bool ExposureGuard::State::isCutOff(
    const core::VersionId &version,
    const core::OrganisationId &organisation) const {
  return CutOffs.count({version, {}}) > 0 ||
         CutOffs.count({version, organisation}) > 0;
}

bool ExposureGuard::State::admits(
    const core::VersionId &version,
    const core::OrganisationId &organisation) const {
  if (isCutOff(version, organisation))
    return false;
  return !isTrial(version) || Credits.taken() < ownWindow();
}

// Credits -------------------------------------------------------------------

// Grows by one for each grade while nothing speaks against the version, as
// slow start does, and shrinks to the initial credits as evidence against it
// mounts.
std::size_t ExposureGuard::State::fleetWindow() const {
  if (!Service.Rollout)
    return 0;
  const auto grades =
      static_cast<double>(totals(Service.Rollout->Trial, {}).Grades);
  return Service.Rollout->InitialCredits +
         static_cast<std::size_t>(grades * Trust);
}

std::size_t ExposureGuard::State::ownWindow() const {
  const std::size_t fleet = fleetWindow();
  const std::size_t rest = fleet % PeerCount;
  return fleet / PeerCount + (PeerRank < rest ? 1 : 0);
}

void ExposureGuard::State::setPeers(unsigned rank, unsigned count) {
  PeerCount = std::max(1U, count);
  PeerRank = rank;
}

void ExposureGuard::State::advance(core::Millis now) {
  Credits.advance(now);
  forgetOld(now);
}

void ExposureGuard::State::forgetOld(core::Millis now) {
  if (now < NextForget)
    return;
  NextForget = now + ForgetInterval;
  std::erase_if(InFlight,
                [&](const auto &x) { return now - x.second.At > ForgetAfter; });
}

// Counting ------------------------------------------------------------------

void ExposureGuard::State::count(const Started &started,
                                 std::optional<double> score) {
  const EvidenceKey key{Service.Name, started.Version, started.Organisation};
  EvidenceCounters &counters = Own[key];
  if (!score) {
    ++counters.Requests;
  } else {
    ++counters.Grades;
    counters.ScoreSumMicro +=
        static_cast<std::uint64_t>(std::llround(*score * MicroPerUnit));
    counters.BadGrades += *score < BadScoreBelow ? 1 : 0;
  }
  Evidence.merge({Self, key, counters});
}

void ExposureGuard::State::onStart(const core::RequestId &request,
                                   const core::VersionId &version,
                                   const core::OrganisationId &organisation,
                                   core::Millis now) {
  const Started started{version, organisation, now};
  if (!InFlight.emplace(request, started).second)
    return;
  count(started, std::nullopt);
  if (isTrial(version))
    Credits.onStart(request, now);
}

void ExposureGuard::State::onNotRun(const core::RequestId &request) {
  InFlight.erase(request);
  Credits.onNotRun(request);
}

RolloutActions ExposureGuard::State::onGrade(const core::RequestId &request,
                                             double score, core::Millis now) {
  const auto it = InFlight.find(request);
  if (it == InFlight.end() || std::isnan(score))
    return {};
  const Started started = it->second;
  InFlight.erase(it);
  Credits.onGrade(request, now);
  count(started, std::clamp(score, 0.0, 1.0));
  return judge({Service.Name, started.Version, started.Organisation});
}

RolloutActions ExposureGuard::State::onEvidence(const EvidenceRecord &record) {
  if (record.Source == Self || !Evidence.merge(record))
    return {};
  if (record.Key.Service != Service.Name)
    return {};
  return judge(record.Key);
}

GradeTotals
ExposureGuard::State::totals(const core::VersionId &version,
                             const core::OrganisationId &organisation) const {
  if (organisation.empty())
    return totalsOf(Evidence.total(Service.Name, version));
  return totalsOf(Evidence.total({Service.Name, version, organisation}));
}

// Judging -------------------------------------------------------------------

// The mean that a trial version must not fall below: the replaced version's,
// for the same organisation where enough is known of it.
std::optional<double>
ExposureGuard::State::baselineBound(const Scope &scope) const {
  const core::VersionId &replaced = Service.Rollout->Replaces;
  GradeTotals baseline = totals(replaced, scope.second);
  if (baseline.Grades < MinBaselineGrades)
    baseline = totals(replaced, {});
  if (baseline.Grades < MinBaselineGrades)
    return std::nullopt;
  return baseline.mean() - Service.Rollout->MaxQualityLoss - marginOf(baseline);
}

// The mean that a version in steady service must not fall below: what it had
// when enough grades had first come.
std::optional<double> ExposureGuard::State::ownBound(const Scope &scope) {
  const auto known = OwnBaselines.find(scope);
  if (known != OwnBaselines.end())
    return known->second.mean() - SteadyMaxLoss - marginOf(known->second);
  const GradeTotals current = totals(scope.first, scope.second);
  if (current.Grades >= OwnBaselineGrades)
    OwnBaselines[scope] = current;
  return std::nullopt;
}

std::optional<double> ExposureGuard::State::boundOf(const Scope &scope) {
  return isTrial(scope.first) ? baselineBound(scope) : ownBound(scope);
}

// Half of the declared chance goes to the test over all organisations, the
// other half is shared by the tests of single ones.
double ExposureGuard::State::thresholdOf(const Scope &scope) const {
  const double chance =
      isTrial(scope.first) ? Service.Rollout->FalseCutOff : SteadyFalseCutOff;
  const auto organisations = static_cast<double>(
      std::max<std::size_t>(1, Service.Organisations.size()));
  const double tests = scope.second.empty() ? 2 : 2 * organisations;
  return std::log(tests / chance);
}

RolloutActions ExposureGuard::State::judge(const EvidenceKey &key) {
  RolloutActions actions;
  judgeScope({key.Version, {}}, actions);
  judgeScope({key.Version, key.Organisation}, actions);
  updateTrust();
  judgeStep(actions);
  return actions;
}

void ExposureGuard::State::judgeScope(const Scope &scope,
                                      RolloutActions &actions) {
  QualityTest &test = Tests[scope];
  test.update(totals(scope.first, scope.second));
  const std::optional<double> bound = boundOf(scope);
  if (!bound || isCutOff(scope.first, scope.second))
    return;
  const double evidence = test.evidence(*bound);
  if (evidence < thresholdOf(scope))
    return;
  const CutOff cutOff{Service.Name, scope.first, scope.second,
                      "mean grade below " + std::to_string(*bound)};
  CutOffs.emplace(scope, cutOff);
  actions.emplace_back(cutOff);
}

void ExposureGuard::State::updateTrust() {
  if (!Service.Rollout)
    return;
  const Scope scope{Service.Rollout->Trial, {}};
  const auto test = Tests.find(scope);
  const std::optional<double> bound = baselineBound(scope);
  Trust = 0;
  if (test == Tests.end() || !bound)
    return;
  const double share = test->second.evidence(*bound) / thresholdOf(scope);
  Trust = std::clamp(1 - share / DistrustAt, 0.0, 1.0);
}

// A step is complete when its grades have come and nothing speaks against the
// version.
void ExposureGuard::State::judgeStep(RolloutActions &actions) {
  if (!Service.Rollout || StepDone || isCutOff(Service.Rollout->Trial, {}))
    return;
  if (Step >= Service.Rollout->Steps.size())
    return;
  const std::uint64_t grades = totals(Service.Rollout->Trial, {}).Grades;
  if (grades < StepBase + Service.Rollout->GradesPerStep || Trust < 1)
    return;
  StepDone = true;
  actions.emplace_back(AdvanceStep{Service.Name, Service.Rollout->Trial, Step});
}

void ExposureGuard::State::setStep(unsigned step) {
  if (step <= Step)
    return;
  Step = step;
  StepDone = false;
  if (Service.Rollout)
    StepBase = totals(Service.Rollout->Trial, {}).Grades;
}

void ExposureGuard::State::onCutOff(const CutOff &cutOff) {
  if (cutOff.Service == Service.Name)
    CutOffs.emplace(Scope{cutOff.Version, cutOff.Organisation}, cutOff);
}

double ExposureGuard::State::trialShare() const {
  if (!Service.Rollout || isCutOff(Service.Rollout->Trial, {}) ||
      Service.Rollout->Steps.empty())
    return 0;
  const std::size_t last = Service.Rollout->Steps.size() - 1;
  return Service.Rollout->Steps[std::min<std::size_t>(Step, last)];
}

std::vector<CutOff> ExposureGuard::State::cutOffs() const {
  std::vector<CutOff> list;
  list.reserve(CutOffs.size());
  for (const auto &[scope, cutOff] : CutOffs)
    list.push_back(cutOff);
  return list;
}

std::vector<EvidenceRecord>
ExposureGuard::State::takeChangedEvidence(std::size_t limit) {
  return Evidence.takeChanged(limit);
}

} // namespace cowslipridge::rollout
