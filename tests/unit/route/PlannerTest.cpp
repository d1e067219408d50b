#include "cowslipridge/route/Planner.hpp"
#include "support/Declarations.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;
using config::VersionState;

namespace {

config::ServiceDeclaration makeDesk() {
  config::ServiceDeclaration service;
  service.Name = core::ServiceId("desk");
  service.Versions = {support::makeVersion("small@1", 1, 0.7),
                      support::makeVersion("large@1", 10, 0.9)};
  service.Organisations = {
      support::makeOrganisation("club", {"small@1", "large@1"}, 0.65)};
  return service;
}

RequestContext makeRequest() {
  RequestContext request;
  request.Request = core::RequestId("r1");
  request.Organisation = core::OrganisationId("club");
  request.Service = core::ServiceId("desk");
  request.RequestClass = "short";
  request.PromptTokens = 200;
  request.Remaining = core::Millis(30'000);
  return request;
}

/// Plans `count` requests and returns how many of them get a SinglePlan for
/// `version`.
int countSingles(Planner &planner, const config::ServiceDeclaration &service,
                 const std::string &version, int count, double trialShare = 0) {
  int singles = 0;
  for (int n = 0; n < count; ++n) {
    const Plan plan =
        planner.plan(makeRequest(), service, {}, trialShare, core::Millis(n));
    singles += plan == Plan(SinglePlan{core::VersionId(version)});
  }
  return singles;
}

void grade(Planner &planner, const std::string &version, double score,
           int count) {
  for (int n = 0; n < count; ++n) {
    planner.observe(GradeObservation{core::ServiceId("desk"),
                                     core::OrganisationId("club"), "short",
                                     core::VersionId(version), score},
                    core::Millis(n));
  }
}

TEST(Planner, choosesTheCheapVersionWhenItMeetsTheTarget) {
  Planner planner(1);
  grade(planner, "small@1", 0.8, 200);
  grade(planner, "large@1", 0.9, 200);
  EXPECT_GT(countSingles(planner, makeDesk(), "small@1", 200), 180);
}

TEST(Planner, switchesToTheBetterVersionWhenGradesOfTheCheapOneDrop) {
  Planner planner(1);
  const auto service = makeDesk();
  countSingles(planner, service, "small@1", 20);
  grade(planner, "large@1", 0.9, 200);
  grade(planner, "small@1", 0.2, 200);
  EXPECT_GT(countSingles(planner, service, "large@1", 200), 120);
}

TEST(Planner, routesPinnedRequestToItsVersion) {
  Planner planner(1);
  RequestContext request = makeRequest();
  request.PinnedVersion = core::VersionId("large@1");
  EXPECT_EQ(planner.plan(request, makeDesk(), {}, 1, core::Millis(0)),
            Plan(SinglePlan{core::VersionId("large@1")}));
}

TEST(Planner, endsSessionWhenItsVersionIsWithdrawn) {
  Planner planner(1);
  RequestContext request = makeRequest();
  request.PinnedVersion = core::VersionId("large@1");
  auto service = makeDesk();
  service.Versions[1].State = VersionState::Withdrawn;
  EXPECT_EQ(planner.plan(request, service, {}, 0, core::Millis(0)),
            Plan(NoPlan{core::Errc::SessionEnded}));
}

TEST(Planner, reportsWhyNoVersionIsPermitted) {
  Planner planner(1);
  auto service = makeDesk();
  for (auto &version : service.Versions)
    version.State = VersionState::Withdrawn;
  EXPECT_EQ(planner.plan(makeRequest(), service, {}, 0, core::Millis(0)),
            Plan(NoPlan{core::Errc::VersionWithdrawn}));
  RequestContext unknown = makeRequest();
  unknown.Organisation = core::OrganisationId("stranger");
  EXPECT_EQ(planner.plan(unknown, service, {}, 0, core::Millis(0)),
            Plan(NoPlan{core::Errc::NotAllowed}));
}

TEST(Planner, routesTheTrialShareOfTheReplacedVersionToTheTrial) {
  Planner planner(1);
  auto service = makeDesk();
  service.Versions[0].State = VersionState::Withdrawn;
  service.Versions.push_back(
      support::makeVersion("large@2", 10, 0.9, VersionState::Trial));
  service.Organisations[0].Allowed.emplace_back("large@2");
  service.Rollout = config::RolloutDeclaration{};
  service.Rollout->Trial = core::VersionId("large@2");
  service.Rollout->Replaces = core::VersionId("large@1");
  const int trials = countSingles(planner, service, "large@2", 1000, 0.2);
  EXPECT_NEAR(trials, 200, 50);
}

TEST(Planner, plansCascadesOnlyWhenTheyFitTheDeadlineAndStreamHold) {
  Planner planner(1);
  const auto service = makeDesk();
  core::Random random(5);
  for (int n = 0; n < 300; ++n) {
    const double score = n % 2 == 0 ? 0.95 : 0.1;
    planner.observe(CheckObservation{service.Name, "short",
                                     core::VersionId("small@1"), score});
    planner.observe(GradeObservation{service.Name, core::OrganisationId("club"),
                                     "short", core::VersionId("small@1"), score,
                                     score},
                    core::Millis(n));
    planner.observe(DurationObservation{
        service.Name, core::VersionId("small@1"), core::Millis(900)});
    planner.observe(DurationObservation{
        service.Name, core::VersionId("large@1"), core::Millis(3000)});
  }
  const auto cascades = [&](const RequestContext &request) {
    int count = 0;
    for (int n = 0; n < 200; ++n) {
      const Plan plan = planner.plan(request, service, {}, 0, core::Millis(n));
      count += std::holds_alternative<CascadePlan>(plan);
    }
    return count;
  };
  RequestContext request = makeRequest();
  EXPECT_GT(cascades(request), 100);
  request.Remaining = core::Millis(3500);
  EXPECT_EQ(cascades(request), 0);
  request.Remaining = core::Millis(30'000);
  request.Stream = true;
  EXPECT_EQ(cascades(request), 0);
}

} // namespace
