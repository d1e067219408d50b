#include "cowslipridge/rollout/ExposureGuard.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::rollout;

namespace {

const core::VersionId Old("old");
const core::VersionId Trial("new");
const core::OrganisationId Club("club");

config::ServiceDeclaration service() {
  config::ServiceDeclaration service;
  service.Name = core::ServiceId("advice");
  service.Organisations.resize(1);
  service.Organisations[0].Name = Club;
  service.Rollout.emplace();
  service.Rollout->Trial = Trial;
  service.Rollout->Replaces = Old;
  service.Rollout->Steps = {0.1, 1};
  service.Rollout->GradesPerStep = 10;
  return service;
}

class ExposureGuardTest : public testing::Test {
protected:
  ExposureGuardTest() { Guard.configure(service()); }

  core::RequestId start(const core::VersionId &version) {
    core::RequestId request(std::to_string(Next++));
    Guard.onStart(request, version, Club, core::Millis(Next));
    return request;
  }
  RolloutActions serve(const core::VersionId &version, double score) {
    return Guard.onGrade(start(version), score, core::Millis(Next));
  }
  void serveOld(int n) {
    for (int i = 0; i < n; ++i)
      serve(Old, 0.9);
  }

  ExposureGuard Guard{{core::InstanceId("a"), core::Incarnation(1)}, 1};
  int Next = 1;
};

TEST_F(ExposureGuardTest, admitsOnlyInitialCreditsWithoutGrades) {
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(Guard.admits(Trial, Club));
    start(Trial);
  }
  EXPECT_FALSE(Guard.admits(Trial, Club));
  EXPECT_TRUE(Guard.admits(Old, Club));
}

TEST_F(ExposureGuardTest, releasesCreditOfRequestThatNeverRan) {
  const core::RequestId first = start(Trial);
  for (int i = 1; i < 4; ++i)
    start(Trial);
  EXPECT_FALSE(Guard.admits(Trial, Club));
  Guard.onNotRun(first);
  EXPECT_TRUE(Guard.admits(Trial, Club));
}

TEST_F(ExposureGuardTest, windowGrowsWithGoodGrades) {
  serveOld(200);
  for (int i = 0; i < 20; ++i)
    serve(Trial, 0.9);
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(Guard.admits(Trial, Club));
    start(Trial);
  }
}

TEST_F(ExposureGuardTest, cutsBadVersionOffPermanently) {
  serveOld(200);
  RolloutActions actions;
  for (int i = 0; i < 60 && actions.empty(); ++i)
    actions = serve(Trial, 0.1);
  ASSERT_FALSE(actions.empty());
  EXPECT_TRUE(std::holds_alternative<CutOff>(actions[0]));
  EXPECT_FALSE(Guard.admits(Trial, Club));
  EXPECT_EQ(Guard.trialShare(), 0);
  Guard.configure(service());
  EXPECT_FALSE(Guard.admits(Trial, Club));
}

TEST_F(ExposureGuardTest, completesStepAfterEnoughGrades) {
  serveOld(200);
  RolloutActions actions;
  for (int i = 0; i < 10; ++i)
    actions = serve(Trial, 0.9);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(actions[0],
            RolloutAction(AdvanceStep{core::ServiceId("advice"), Trial, 0}));
  EXPECT_EQ(Guard.trialShare(), 0.1);
  Guard.setStep(1);
  EXPECT_EQ(Guard.trialShare(), 1);
  Guard.setStep(0);
  EXPECT_EQ(Guard.trialShare(), 1);
}

TEST_F(ExposureGuardTest, releasesCreditsOfLostGradesWithGrowingDelay) {
  for (int i = 0; i < 4; ++i)
    start(Trial);
  int admitted = 0;
  for (int second = 0; second < 3'600; ++second) {
    Guard.advance(core::Millis(1'000) * second);
    if (!Guard.admits(Trial, Club))
      continue;
    start(Trial);
    ++admitted;
  }
  EXPECT_GE(admitted, 3);
  EXPECT_LE(admitted, 8);
}

TEST_F(ExposureGuardTest, peersShareInitialCredits) {
  Guard.setPeers(5, 6);
  EXPECT_FALSE(Guard.admits(Trial, Club));
  Guard.setPeers(1, 3);
  EXPECT_TRUE(Guard.admits(Trial, Club));
  start(Trial);
  EXPECT_FALSE(Guard.admits(Trial, Club));
}

TEST_F(ExposureGuardTest, ignoresRepeatedAndUnknownGrades) {
  serveOld(200);
  const core::RequestId request = start(Trial);
  Guard.onGrade(request, 0.9, core::Millis(1));
  const std::size_t changed = Guard.takeChangedEvidence(100).size();
  EXPECT_GT(changed, 0U);
  Guard.onGrade(request, 0.9, core::Millis(1));
  Guard.onGrade(core::RequestId("other"), 0.9, core::Millis(1));
  EXPECT_TRUE(Guard.takeChangedEvidence(100).empty());
}

} // namespace
