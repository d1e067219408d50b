#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/route/Planner.hpp"
#include "support/Declarations.hpp"
#include "support/PropertyChecks.hpp"

using namespace cowslipridge;
using namespace cowslipridge::route;
using config::VersionState;

namespace {

constexpr int GeneratedSequences = 10'000;
constexpr int RequestsPerSequence = 12;

std::string versionName(std::size_t n) { return "v" + std::to_string(n); }

config::ServiceDeclaration drawService(core::Random &random) {
  config::ServiceDeclaration service;
  service.Name = core::ServiceId("desk");
  const std::size_t count = 1 + core::uniformIndex(random, 5);
  for (std::size_t n = 0; n < count; ++n) {
    const auto state = static_cast<VersionState>(core::uniformIndex(random, 3));
    service.Versions.push_back(
        support::makeVersion(versionName(n), core::uniform(random) * 10,
                             core::uniform(random), state));
  }
  auto organisation =
      support::makeOrganisation("club", {}, core::uniform(random));
  for (std::size_t n = 0; n < count; ++n) {
    if (core::uniform(random) < 0.7)
      organisation.Allowed.emplace_back(versionName(n));
  }
  service.Organisations.push_back(organisation);
  if (core::uniform(random) < 0.5) {
    service.Rollout = config::RolloutDeclaration{};
    service.Rollout->Trial =
        core::VersionId(versionName(core::uniformIndex(random, count)));
    service.Rollout->Replaces =
        core::VersionId(versionName(core::uniformIndex(random, count)));
  }
  return service;
}

CutOffSet drawCutOffs(core::Random &random) {
  CutOffSet cutOffs;
  for (std::size_t n = 0; n < 5; ++n) {
    if (core::uniform(random) < 0.15)
      cutOffs.insert({core::ServiceId("desk"), core::VersionId(versionName(n)),
                      core::OrganisationId(n % 2 == 0 ? "" : "club")});
  }
  return cutOffs;
}

RequestContext drawRequest(core::Random &random) {
  RequestContext request;
  request.Service = core::ServiceId("desk");
  request.Organisation = core::OrganisationId("club");
  request.RequestClass = core::uniform(random) < 0.5 ? "short" : "long";
  request.Stream = core::uniform(random) < 0.3;
  request.Remaining =
      core::Millis(static_cast<std::int64_t>(core::uniform(random) * 20'000));
  if (core::uniform(random) < 0.3)
    request.PinnedVersion =
        core::VersionId(versionName(core::uniformIndex(random, 6)));
  return request;
}

void observeAnswer(Planner &planner, const core::VersionId &version,
                   core::Random &random, int n) {
  const core::ServiceId service("desk");
  const double check = core::uniform(random);
  const std::string kind = core::uniform(random) < 0.5 ? "short" : "long";
  planner.observe(CheckObservation{service, kind, version, check});
  GradeObservation grade{service, core::OrganisationId("club"), kind,
                         version, core::uniform(random),        check,
                         {}};
  if (core::uniform(random) < 0.2)
    grade.Replaced =
        RejectedAnswer{core::VersionId("v0"), core::uniform(random)};
  planner.observe(grade, core::Millis(n));
  planner.observe(DurationObservation{
      service, version,
      core::Millis(static_cast<std::int64_t>(core::uniform(random) * 4000))});
}

bool mayRun(const core::VersionId &version, const RequestContext &request,
            const config::ServiceDeclaration &service,
            const CutOffSet &cutOffs) {
  return service.permits(request.Organisation, version) &&
         !cutOffs.contains({request.Service, version, {}}) &&
         !cutOffs.contains({request.Service, version, request.Organisation}) &&
         (!request.PinnedVersion || *request.PinnedVersion == version);
}

bool isTrial(const core::VersionId &version,
             const config::ServiceDeclaration &service) {
  return service.findVersion(version)->State == VersionState::Trial;
}

TEST(PlannerProperties, plansOnlyPermittedVersions) {
  support::expectHolds(GeneratedSequences, [](std::uint64_t seed) {
    core::Random random(seed);
    Planner planner(seed);
    const auto service = drawService(random);
    for (int n = 0; n < RequestsPerSequence; ++n) {
      const auto cutOffs = drawCutOffs(random);
      const auto request = drawRequest(random);
      const double trialShare = core::uniform(random) < 0.5 ? 0 : 0.5;
      const Plan plan =
          planner.plan(request, service, cutOffs, trialShare, core::Millis(n));
      std::visit(
          core::Overloaded{
              [&](const SinglePlan &single) {
                RC_ASSERT(mayRun(single.Version, request, service, cutOffs));
                if (trialShare == 0 && !request.PinnedVersion)
                  RC_ASSERT(!isTrial(single.Version, service));
              },
              [&](const CascadePlan &cascade) {
                RC_ASSERT(mayRun(cascade.Cheap, request, service, cutOffs));
                RC_ASSERT(mayRun(cascade.Better, request, service, cutOffs));
                RC_ASSERT(!request.PinnedVersion);
              },
              [&](const NoPlan &) {
                // NoPlan is returned only if no active version may answer.
                for (const auto &version : service.Versions)
                  RC_ASSERT(isTrial(version.Name, service) ||
                            !mayRun(version.Name, request, service, cutOffs));
              }},
          plan);
      for (const auto &version : service.Versions)
        observeAnswer(planner, version.Name, random, n);
    }
  });
}

} // namespace
