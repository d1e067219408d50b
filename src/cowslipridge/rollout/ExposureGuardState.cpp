#include "cowslipridge/rollout/ExposureGuardState.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::rollout {

namespace {

constexpr double MicroPerUnit = 1e6;
constexpr double BadScoreBelow = 0.5;
/// Minimum number of grades of the replaced version for a comparison.
constexpr std::uint64_t MinBaselineGrades = 20;
/// Tolerance of a comparison, in standard errors of the baseline mean.
constexpr double BaselineMargin = 1.5;
/// Number of first grades from which the baseline of a version without a
/// roll-out is computed.
constexpr std::uint64_t SteadyBaselineGrades = 200;
/// Maximum loss of quality, and probability of a false cut-off, for versions
/// without a roll-out.
constexpr double SteadyMaxLoss = 0.1;
constexpr double SteadyFalseCutOff = 0.001;
/// Share of the cut-off threshold from which the confidence is zero and the
/// credit window stops growing.
constexpr double ZeroConfidenceAt = 0.5;
/// Confidence that each organisation must have for a step to be complete.
constexpr double MinConfidenceToAdvance = 0.5;
/// Time after which an ungraded request is removed; later grades of it are
/// ignored.
constexpr core::Millis UngradedExpiry{900'000};
constexpr core::Millis ExpiryInterval{10'000};

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
    StepComplete = false;
    Confidence.clear();
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
  if (!isTrial(version))
    return true;
  const auto own = CreditsByOrganisation.find(organisation);
  return hasCredit(TotalCredits, {}) &&
         hasCredit(own == CreditsByOrganisation.end() ? CreditWindow()
                                                      : own->second,
                   organisation);
}

// Credits -------------------------------------------------------------------

double ExposureGuard::State::confidenceIn(
    const core::OrganisationId &organisation) const {
  const auto it = Confidence.find(organisation);
  return it == Confidence.end() ? 0 : it->second;
}

// The credit window of all sidecars grows by one for each grade while there is
// no evidence against the version, like slow start in congestion control. It
// shrinks to the initial credits as evidence against the version grows. Each
// sidecar has an even part of the window.
bool ExposureGuard::State::hasCredit(
    const CreditWindow &credits,
    const core::OrganisationId &organisation) const {
  const auto grades =
      static_cast<double>(totals(Service.Rollout->Trial, organisation).Grades);
  const std::size_t fleet =
      Service.Rollout->InitialCredits +
      static_cast<std::size_t>(grades * confidenceIn(organisation));
  const std::size_t rest = fleet % PeerCount;
  return credits.outstanding() < fleet / PeerCount + (PeerRank < rest ? 1 : 0);
}

void ExposureGuard::State::setPeers(unsigned rank, unsigned count) {
  PeerCount = std::max(1U, count);
  PeerRank = rank;
}

void ExposureGuard::State::advance(core::Millis now) {
  TotalCredits.advance(now);
  for (auto &[organisation, credits] : CreditsByOrganisation)
    credits.advance(now);
  expireUngraded(now);
}

void ExposureGuard::State::expireUngraded(core::Millis now) {
  if (now < NextExpiry)
    return;
  NextExpiry = now + ExpiryInterval;
  std::erase_if(InFlight, [&](const auto &x) {
    return now - x.second.At > UngradedExpiry;
  });
}

// Counting ------------------------------------------------------------------

void ExposureGuard::State::count(const StartedRequest &started,
                                 std::optional<double> score) {
  const EvidenceKey key{Service.Name, started.Version, started.Organisation};
  EvidenceCounters &counters = LocalCounters[key];
  if (!score) {
    ++counters.Requests;
  } else {
    const auto micro =
        static_cast<std::uint64_t>(std::llround(*score * MicroPerUnit));
    const bool isBad = *score < BadScoreBelow;
    ++counters.Grades;
    counters.ScoreSumMicro += micro;
    counters.BadGrades += isBad ? 1 : 0;
    counters.BadScoreSumMicro += isBad ? micro : 0;
  }
  Evidence.merge({Self, key, counters});
}

void ExposureGuard::State::onStart(const core::RequestId &request,
                                   const core::VersionId &version,
                                   const core::OrganisationId &organisation,
                                   core::Millis now) {
  const StartedRequest started{version, organisation, now};
  if (!InFlight.emplace(request, started).second)
    return;
  count(started, std::nullopt);
  if (!isTrial(version))
    return;
  TotalCredits.onStart(request, now);
  CreditsByOrganisation[organisation].onStart(request, now);
}

void ExposureGuard::State::onNotRun(const core::RequestId &request) {
  const auto it = InFlight.find(request);
  if (it == InFlight.end())
    return;
  TotalCredits.onNotRun(request);
  CreditsByOrganisation[it->second.Organisation].onNotRun(request);
  InFlight.erase(it);
}

RolloutActions ExposureGuard::State::onGrade(const core::RequestId &request,
                                             double score, core::Millis now) {
  const auto it = InFlight.find(request);
  if (it == InFlight.end() || std::isnan(score))
    return {};
  const StartedRequest started = it->second;
  InFlight.erase(it);
  TotalCredits.onGrade(request, now);
  CreditsByOrganisation[started.Organisation].onGrade(request, now);
  count(started, std::clamp(score, 0.0, 1.0));
  return evaluate({Service.Name, started.Version, started.Organisation});
}

RolloutActions ExposureGuard::State::onEvidence(const EvidenceRecord &record) {
  if (record.Source == Self || !Evidence.merge(record))
    return {};
  if (record.Key.Service != Service.Name)
    return {};
  return evaluate(record.Key);
}

GradeTotals
ExposureGuard::State::totals(const core::VersionId &version,
                             const core::OrganisationId &organisation) const {
  if (organisation.empty())
    return totalsOf(Evidence.total(Service.Name, version));
  return totalsOf(Evidence.total({Service.Name, version, organisation}));
}

// Evaluation ----------------------------------------------------------------

// Returns the lower bound of the mean score of a trial version. It derives from
// the mean of the replaced version, for the same organisation if that has
// enough grades, else for all organisations.
std::optional<double>
ExposureGuard::State::trialBound(const Scope &scope) const {
  const core::VersionId &replaced = Service.Rollout->Replaces;
  GradeTotals baseline = totals(replaced, scope.second);
  if (baseline.Grades < MinBaselineGrades)
    baseline = totals(replaced, {});
  if (baseline.Grades < MinBaselineGrades)
    return std::nullopt;
  return baseline.mean() - Service.Rollout->MaxQualityLoss - marginOf(baseline);
}

// Returns the lower bound of the mean score of a version that is not on trial.
// It derives from the version's own mean when it first had enough grades.
std::optional<double> ExposureGuard::State::steadyBound(const Scope &scope) {
  const auto known = SteadyBaselines.find(scope);
  if (known != SteadyBaselines.end())
    return known->second.mean() - SteadyMaxLoss - marginOf(known->second);
  const GradeTotals current = totals(scope.first, scope.second);
  if (current.Grades >= SteadyBaselineGrades)
    SteadyBaselines[scope] = current;
  return std::nullopt;
}

std::optional<double> ExposureGuard::State::boundOf(const Scope &scope) {
  return isTrial(scope.first) ? trialBound(scope) : steadyBound(scope);
}

// Half of the declared probability of a false cut-off goes to the test over all
// organisations; the tests of single organisations share the other half.
double ExposureGuard::State::thresholdOf(const Scope &scope) const {
  const double chance =
      isTrial(scope.first) ? Service.Rollout->FalseCutOff : SteadyFalseCutOff;
  const auto organisations = static_cast<double>(
      std::max<std::size_t>(1, Service.Organisations.size()));
  const double tests = scope.second.empty() ? 2 : 2 * organisations;
  return std::log(tests / chance);
}

RolloutActions ExposureGuard::State::evaluate(const EvidenceKey &key) {
  RolloutActions actions;
  evaluateScope({key.Version, {}}, actions);
  evaluateScope({key.Version, key.Organisation}, actions);
  // New grades of the replaced version change the baseline of the trial
  // version.
  if (Service.Rollout && !isTrial(key.Version))
    evaluateScope({Service.Rollout->Trial, {}}, actions);
  evaluateStep(actions);
  return actions;
}

void ExposureGuard::State::evaluateScope(const Scope &scope,
                                         RolloutActions &actions) {
  SequentialMeanTest &test = Tests[scope];
  test.update(totals(scope.first, scope.second));
  const std::optional<double> bound = boundOf(scope);
  if (!bound || isCutOff(scope.first, scope.second))
    return;
  const double evidence = test.evidence(*bound);
  const double share = evidence / thresholdOf(scope);
  if (isTrial(scope.first))
    Confidence[scope.second] =
        std::clamp(1 - share / ZeroConfidenceAt, 0.0, 1.0);
  if (evidence < thresholdOf(scope))
    return;
  const CutOff cutOff{Service.Name, scope.first, scope.second,
                      "mean grade below " + std::to_string(*bound)};
  CutOffs.emplace(scope, cutOff);
  actions.emplace_back(cutOff);
}

// A step is complete when enough grades were received since it began, the
// confidence over all organisations is full, and that of each organisation is
// not too low.
void ExposureGuard::State::evaluateStep(RolloutActions &actions) {
  if (!Service.Rollout || StepComplete || isCutOff(Service.Rollout->Trial, {}))
    return;
  if (Step >= Service.Rollout->Steps.size())
    return;
  const std::uint64_t grades = totals(Service.Rollout->Trial, {}).Grades;
  if (grades < GradesAtStepStart + Service.Rollout->GradesPerStep ||
      confidenceIn({}) < 1)
    return;
  const bool hasLowConfidence =
      std::any_of(Confidence.begin(), Confidence.end(), [](const auto &x) {
        return x.second < MinConfidenceToAdvance;
      });
  if (hasLowConfidence)
    return;
  StepComplete = true;
  actions.emplace_back(AdvanceStep{Service.Name, Service.Rollout->Trial, Step});
}

void ExposureGuard::State::setStep(unsigned step) {
  if (step <= Step)
    return;
  Step = step;
  StepComplete = false;
  if (Service.Rollout)
    GradesAtStepStart = totals(Service.Rollout->Trial, {}).Grades;
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
