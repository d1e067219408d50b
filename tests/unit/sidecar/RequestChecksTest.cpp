#include "cowslipridge/sidecar/RequestChecks.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::sidecar;
using core::Errc;

namespace {

const core::ServiceId Fitting("fitting");
const core::OrganisationId Airport("airport-desk");
const core::VersionId Small("small@3");
const core::VersionId Large("large@2");
const core::VersionId Old("small@2");

config::Bundle makeBundle() {
  config::ServiceDeclaration service;
  service.Name = Fitting;
  for (const core::VersionId &it : {Small, Large, Old}) {
    config::VersionDeclaration version;
    version.Name = it;
    service.Versions.push_back(version);
  }
  service.Versions.back().State = config::VersionState::Withdrawn;
  config::OrganisationDeclaration organisation;
  organisation.Name = Airport;
  organisation.Allowed = {Small, Old};
  service.Organisations = {organisation};
  config::Bundle bundle;
  bundle.Number = core::Generation(4);
  bundle.Services[Fitting] = service;
  return bundle;
}

class RequestChecksTest : public testing::Test {
protected:
  RequestChecksTest() {
    Context.Service = Fitting;
    Context.Versions = {Small, Large, Old};
    Context.Configuration = &Bundle;
    Request.Service = Fitting;
    Request.Organisation = Airport;
    Request.Version = Small;
    Request.Remaining = core::Millis(1'000);
  }

  config::Bundle Bundle = makeBundle();
  AdmissionContext Context;
  rpc::RunRequest Request;
};

TEST_F(RequestChecksTest, allowsAPermittedRequest) {
  EXPECT_EQ(findRefusal(Request, Context), std::nullopt);
}

TEST_F(RequestChecksTest, refusesWhileDraining) {
  Context.IsDraining = true;
  EXPECT_EQ(findRefusal(Request, Context), Errc::Leaving);
}

TEST_F(RequestChecksTest, refusesBeforeTheFirstConfiguration) {
  Context.Configuration = nullptr;
  EXPECT_EQ(findRefusal(Request, Context), Errc::StaleGeneration);
}

TEST_F(RequestChecksTest, refusesAWithdrawnVersion) {
  Request.Version = Old;
  EXPECT_EQ(findRefusal(Request, Context), Errc::VersionWithdrawn);
  Request.SessionIsPinned = true;
  EXPECT_EQ(findRefusal(Request, Context), Errc::SessionEnded);
}

TEST_F(RequestChecksTest, refusesAVersionThatTheOrganisationMayNotUse) {
  Request.Version = Large;
  EXPECT_EQ(findRefusal(Request, Context), Errc::NotAllowed);
  Request.Version = Small;
  Request.Organisation = core::OrganisationId("another");
  EXPECT_EQ(findRefusal(Request, Context), Errc::NotAllowed);
}

TEST_F(RequestChecksTest, refusesVersionsAndServicesThatTheRunnerDoesNotServe) {
  Context.Versions = {Large};
  EXPECT_EQ(findRefusal(Request, Context), Errc::NoRunner);
  Request.Service = core::ServiceId("desk");
  EXPECT_EQ(findRefusal(Request, Context), Errc::UnknownService);
}

TEST_F(RequestChecksTest, refusesRequestsPastTheirDeadline) {
  Request.Remaining = core::Millis(0);
  EXPECT_EQ(findRefusal(Request, Context), Errc::DeadlineExceeded);
}

} // namespace
