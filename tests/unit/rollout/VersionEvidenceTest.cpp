#include "cowslipridge/rollout/VersionEvidence.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::rollout;
using core::Millis;

namespace {

const core::ServiceId Service("s");
const core::VersionId Target("v2");
const core::InstanceId Peer("peer");
const RolloutCommand Command{Service, Target, Millis(20'000)};
const RouteEvidenceKey Key{Service, Target, "r"};

AnswerCounts sent(std::uint64_t n) {
  AnswerCounts counts;
  counts.Sent = n;
  counts.Judged = n;
  return counts;
}

class VersionEvidenceTest : public testing::Test {
protected:
  VersionEvidenceTest() { Evidence.setTrials({Command}, Now); }

  void report(std::uint64_t n, const RolloutCommand &command = Command) {
    Evidence.onPeerReport(
        Peer, {{Key, sent(n)}},
        {{command, RolloutPhase::InProgress, 0, Millis(1'000)}}, Now);
  }
  [[nodiscard]] std::uint64_t exposed() const {
    return Evidence.assessment(Service)->exposure(Now).Target;
  }

  VersionEvidence Evidence;
  Millis Now{1'000};
};

TEST_F(VersionEvidenceTest, addsUpTheCountsOfAllGateways) {
  Evidence.record(Key, sent(1), Now);
  report(4);
  report(6);
  EXPECT_EQ(exposed(), 7U);
  EXPECT_EQ(Evidence.pooled().at(Key).Sent, 7U);
  EXPECT_EQ(Evidence.report().at(Key).Sent, 1U) << "only its own";
}

// Guards against losing the evidence against a version with the gateway that
// gathered it.
TEST_F(VersionEvidenceTest, countsOfARestartedGatewayStayKnown) {
  report(10);
  report(2);
  EXPECT_EQ(exposed(), 12U);
  report(3);
  EXPECT_EQ(exposed(), 13U);
}

TEST_F(VersionEvidenceTest, countsUnderAnotherCommandAreIgnored) {
  report(10, {Service, core::VersionId("v3"), Millis(20'000)});
  EXPECT_EQ(exposed(), 0U);
}

TEST_F(VersionEvidenceTest, newCommandStartsWithoutEvidence) {
  Evidence.record(Key, sent(5), Now);
  report(4);
  Evidence.setTrials({}, Now);
  EXPECT_EQ(Evidence.assessment(Service), nullptr);
  EXPECT_TRUE(Evidence.report().empty());
  Evidence.setTrials({Command}, Now);
  EXPECT_EQ(exposed(), 0U);
  EXPECT_TRUE(Evidence.report().empty());
}

} // namespace
