#include "cowslipridge/gateway/PeerReportCodec.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;

namespace {

PeerReport sampleReport() {
  PeerReport report;
  report.Gateway = core::InstanceId("g");
  report.Loads = {{core::RunnerId("r"), {12.5, 2, 3}}};
  rollout::AnswerCounts counts{9, 8, 2, 1, 7, 0.25};
  report.Evidence = {
      {{core::ServiceId("s"), core::VersionId("v2"), "route"}, counts}};
  report.PinnedSessions = {1, 1ULL << 63};
  report.ExitsWithin = core::Millis(4'200);
  return report;
}

TEST(PeerReportCodecTest, roundTripsAReport) {
  const auto decoded = decodePeerReport(encodePeerReport(sampleReport()));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->Gateway, sampleReport().Gateway);
  EXPECT_EQ(decoded->Loads, sampleReport().Loads);
  EXPECT_EQ(decoded->Evidence, sampleReport().Evidence);
  EXPECT_EQ(decoded->PinnedSessions, sampleReport().PinnedSessions);
  EXPECT_EQ(decoded->ExitsWithin, sampleReport().ExitsWithin);
  const auto serving = decodePeerReport(encodePeerReport(PeerReport()));
  ASSERT_TRUE(serving.ok());
  EXPECT_FALSE(serving->ExitsWithin);
}

TEST(PeerReportCodecTest, rejectsTruncatedDatagramsAndSurvivesCorruptedOnes) {
  const std::string bytes = encodePeerReport(sampleReport());
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    EXPECT_FALSE(decodePeerReport(bytes.substr(0, n)).ok());
    std::string flipped = bytes;
    flipped[n] = static_cast<char>(flipped[n] ^ 0x55);
    (void)decodePeerReport(flipped);
  }
}

} // namespace
