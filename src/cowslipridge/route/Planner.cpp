#include "cowslipridge/route/Planner.hpp"

#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/route/DurationModel.hpp"
#include "cowslipridge/route/PlanOptions.hpp"
#include "cowslipridge/route/QualityControl.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

using config::ServiceDeclaration;
using config::VersionDeclaration;
using config::VersionState;
using Candidates = std::vector<const VersionDeclaration *>;

/// Share of requests that are routed to a random version only to collect grades
/// for it.
constexpr double ExplorationShare = 0.005;
/// Exploration share while some version has fewer than EarlyExplorationGrades;
/// these requests go to the version with the fewest grades.
constexpr double EarlyExplorationShare = 0.08;
/// Discounted number of a version's grades for a request class below which the
/// early exploration share applies.
constexpr double EarlyExplorationGrades = 10;
/// A version without a measured duration is assumed to need the service's
/// deadline divided by this number.
constexpr std::int64_t UntimedDeadlineDivisor = 3;
/// Longest time for which a streamed answer may be buffered for its check.
constexpr core::Millis MaxStreamHold{500};

bool isCutOff(const CutOffSet &cutOffs, const RequestContext &request,
              const core::VersionId &version) {
  return cutOffs.contains({request.Service, version, {}}) ||
         cutOffs.contains({request.Service, version, request.Organisation});
}

Plan planPinned(const RequestContext &request,
                const ServiceDeclaration &service, const CutOffSet &cutOffs) {
  const core::VersionId &version = *request.PinnedVersion;
  const VersionDeclaration *declared = service.findVersion(version);
  if (declared == nullptr || declared->State == VersionState::Withdrawn)
    return NoPlan{core::Errc::SessionEnded};
  if (!service.permits(request.Organisation, version))
    return NoPlan{core::Errc::NotAllowed};
  if (isCutOff(cutOffs, request, version))
    return NoPlan{core::Errc::SessionEnded};
  return SinglePlan{version};
}

/// Versions that the declaration and the cut-offs permit for a request.
struct PermittedVersions {
  Candidates Active;
  const VersionDeclaration *Trial = nullptr;
};

PermittedVersions findPermittedVersions(const RequestContext &request,
                                        const ServiceDeclaration &service,
                                        const CutOffSet &cutOffs) {
  PermittedVersions found;
  for (const VersionDeclaration &version : service.Versions) {
    if (!service.permits(request.Organisation, version.Name) ||
        isCutOff(cutOffs, request, version.Name))
      continue;
    if (version.State == VersionState::Active)
      found.Active.push_back(&version);
    else if (service.Rollout && service.Rollout->Trial == version.Name)
      found.Trial = &version;
  }
  return found;
}

bool containsVersion(const Candidates &versions, const core::VersionId &name) {
  return std::any_of(
      versions.begin(), versions.end(),
      [&](const auto *version) { return version->Name == name; });
}

core::Errc noPlanReason(const RequestContext &request,
                        const ServiceDeclaration &service) {
  const auto *tenant = service.findOrganisation(request.Organisation);
  if (tenant == nullptr || tenant->Allowed.empty())
    return core::Errc::NotAllowed;
  return core::Errc::VersionWithdrawn;
}

/// Returns `plan` with `from` replaced by `to`.
Plan substitute(const Plan &plan, const core::VersionId &from,
                const core::VersionId &to) {
  const auto replaced = [&](const core::VersionId &version) {
    return version == from ? to : version;
  };
  return std::visit(
      core::Overloaded{[&](const SinglePlan &single) -> Plan {
                         return SinglePlan{replaced(single.Version)};
                       },
                       [&](const CascadePlan &cascade) -> Plan {
                         return CascadePlan{replaced(cascade.Cheap),
                                            replaced(cascade.Better),
                                            cascade.AcceptAbove};
                       },
                       [](const NoPlan &none) -> Plan { return none; }},
      plan);
}

} // namespace

class Planner::State {
public:
  explicit State(std::uint64_t seed) : Generator(seed) {}

  Plan plan(const RequestContext &request, const ServiceDeclaration &service,
            const CutOffSet &cutOffs, double trialShare);
  void observe(const GradeObservation &grade);

  QualityModel Quality;
  DurationModel Durations;

private:
  Plan planActive(const RequestContext &request,
                  const ServiceDeclaration &service,
                  const Candidates &versions);
  std::set<CascadePair> fittingCascades(const RequestContext &request,
                                        const ServiceDeclaration &service,
                                        const Candidates &versions) const;
  bool fitsDeadline(const RequestContext &request,
                    const ServiceDeclaration &service,
                    const CascadePair &pair) const;
  const VersionDeclaration *drawExploration(const RequestContext &request,
                                            const Candidates &versions);

  core::Random Generator;
  std::map<std::pair<core::ServiceId, core::OrganisationId>, QualityControl>
      Controls;
};

bool Planner::State::fitsDeadline(const RequestContext &request,
                                  const ServiceDeclaration &service,
                                  const CascadePair &pair) const {
  const auto cheap = Durations.upperBound(request.Service, pair.Cheap);
  if (request.Stream && (!cheap || *cheap > MaxStreamHold))
    return false;
  const core::Millis untimedDuration =
      service.Deadline / UntimedDeadlineDivisor;
  const auto better = Durations.upperBound(request.Service, pair.Better);
  return cheap.value_or(untimedDuration) + better.value_or(untimedDuration) <=
         request.Remaining;
}

std::set<CascadePair>
Planner::State::fittingCascades(const RequestContext &request,
                                const ServiceDeclaration &service,
                                const Candidates &versions) const {
  std::set<CascadePair> fitting;
  for (const VersionDeclaration *cheap : versions) {
    for (const VersionDeclaration *better : versions) {
      const CascadePair pair{cheap->Name, better->Name};
      if (cheap->CostPerThousandTokens < better->CostPerThousandTokens &&
          fitsDeadline(request, service, pair))
        fitting.insert(pair);
    }
  }
  return fitting;
}

/// Returns the version to explore with this request, or nullptr if the request
/// isn't used for exploration.
const VersionDeclaration *
Planner::State::drawExploration(const RequestContext &request,
                                const Candidates &versions) {
  const auto knownGrades = [&](const VersionDeclaration *version) {
    return Quality.gradeWeight({request.Service, version->Name,
                                request.RequestClass, request.Organisation});
  };
  const auto *least = *std::min_element(
      versions.begin(), versions.end(), [&](const auto *a, const auto *b) {
        return knownGrades(a) < knownGrades(b);
      });
  const bool early = knownGrades(least) < EarlyExplorationGrades;
  if (core::uniform(Generator) >=
      (early ? EarlyExplorationShare : ExplorationShare))
    return nullptr;
  return early ? least
               : versions[core::uniformIndex(Generator, versions.size())];
}

Plan Planner::State::planActive(const RequestContext &request,
                                const ServiceDeclaration &service,
                                const Candidates &versions) {
  if (versions.size() == 1)
    return SinglePlan{versions.front()->Name};
  const auto cascades = fittingCascades(request, service, versions);
  const auto options = listOptions(Quality, service, request.Organisation,
                                   request.RequestClass, versions, cascades);
  const double target =
      service.findOrganisation(request.Organisation)->QualityTarget;
  QualityControl &control = Controls[{request.Service, request.Organisation}];
  control.recordRequest(target, {request.RequestClass, !cascades.empty()},
                        options);
  if (const auto *explored = drawExploration(request, versions))
    return SinglePlan{explored->Name};
  return bestOption(options, control.drawPrice(Generator)).Choice;
}

Plan Planner::State::plan(const RequestContext &request,
                          const ServiceDeclaration &service,
                          const CutOffSet &cutOffs, double trialShare) {
  if (request.PinnedVersion)
    return planPinned(request, service, cutOffs);
  const PermittedVersions permitted =
      findPermittedVersions(request, service, cutOffs);
  const bool usesTrial =
      permitted.Trial != nullptr && core::uniform(Generator) < trialShare;
  if (permitted.Active.empty()) {
    if (usesTrial)
      return SinglePlan{permitted.Trial->Name};
    if (permitted.Trial != nullptr)
      return NoPlan{core::Errc::NoRunner};
    return NoPlan{noPlanReason(request, service)};
  }
  if (!usesTrial)
    return planActive(request, service, permitted.Active);
  const core::VersionId &replaced = service.Rollout->Replaces;
  Candidates versions = permitted.Active;
  // If the replaced version may not answer, the trial version competes with the
  // active versions on cost and quality.
  if (!containsVersion(versions, replaced))
    versions.push_back(permitted.Trial);
  const Plan planned = planActive(request, service, versions);
  return substitute(planned, replaced, permitted.Trial->Name);
}

void Planner::State::observe(const GradeObservation &grade) {
  Quality.observe(grade);
  const auto it = Controls.find({grade.Service, grade.Organisation});
  if (it != Controls.end())
    it->second.observe(grade.Score);
}

Planner::Planner(std::uint64_t seed) : Impl(std::make_unique<State>(seed)) {}

Planner::~Planner() = default;

Plan Planner::plan(const RequestContext &request,
                   const ServiceDeclaration &service, const CutOffSet &cutOffs,
                   double trialShare, core::Millis /*now*/) {
  return Impl->plan(request, service, cutOffs, trialShare);
}

void Planner::observe(const GradeObservation &grade, core::Millis /*now*/) {
  Impl->observe(grade);
}

void Planner::observe(const CheckObservation &check) {
  Impl->Quality.observe(check);
}

void Planner::observe(const DurationObservation &duration) {
  Impl->Durations.observe(duration);
}

} // namespace cowslipridge::route
