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
  config::OrganisationDeclaration tenant;
  tenant.Name = Airport;
  tenant.Allowed = {Small, Old};
  service.Organisations = {tenant};
  config::Bundle bundle;
  bundle.Number = core::Generation(4);
  bundle.Services[Fitting] = service;
  return bundle;
}

class RequestChecksTest : public testing::Test {
protected:
  RequestChecksTest() {
    Door.Service = Fitting;
    Door.Versions = {Small, Large, Old};
    Door.Configuration = &Bundle;
    Request.Service = Fitting;
    Request.Organisation = Airport;
    Request.Version = Small;
    Request.Remaining = core::Millis(1'000);
  }

  config::Bundle Bundle = makeBundle();
  DoorState Door;
  rpc::RunRequest Request;
};

TEST_F(RequestChecksTest, letsAPermittedRequestPass) {
  EXPECT_EQ(findRefusal(Request, Door), std::nullopt);
}

TEST_F(RequestChecksTest, refusesWhileLeaving) {
  Door.Refusing = true;
  EXPECT_EQ(findRefusal(Request, Door), Errc::Leaving);
}

TEST_F(RequestChecksTest, refusesBeforeTheFirstConfiguration) {
  Door.Configuration = nullptr;
  EXPECT_EQ(findRefusal(Request, Door), Errc::StaleGeneration);
}

TEST_F(RequestChecksTest, refusesAWithdrawnVersionWhateverTheSenderBelieved) {
  Request.Version = Old;
  EXPECT_EQ(findRefusal(Request, Door), Errc::VersionWithdrawn);
  Request.SessionIsPinned = true;
  EXPECT_EQ(findRefusal(Request, Door), Errc::SessionEnded);
}

TEST_F(RequestChecksTest, refusesAVersionThatTheOrganisationMayNotUse) {
  Request.Version = Large;
  EXPECT_EQ(findRefusal(Request, Door), Errc::NotAllowed);
  Request.Version = Small;
  Request.Organisation = core::OrganisationId("another");
  EXPECT_EQ(findRefusal(Request, Door), Errc::NotAllowed);
}

TEST_F(RequestChecksTest, refusesWhatItsRunnerDoesNotServe) {
  Door.Versions = {Large};
  EXPECT_EQ(findRefusal(Request, Door), Errc::NoRunner);
  Request.Service = core::ServiceId("desk");
  EXPECT_EQ(findRefusal(Request, Door), Errc::UnknownService);
}

TEST_F(RequestChecksTest, refusesWhatIsPastItsDeadline) {
  Request.Remaining = core::Millis(0);
  EXPECT_EQ(findRefusal(Request, Door), Errc::DeadlineExceeded);
}

} // namespace
