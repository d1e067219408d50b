#include "cowslipridge/gateway/PeerReportCodec.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace cowslipridge;
using namespace cowslipridge::gateway;

namespace {

PeerReport sampleReport() {
  PeerReport report;
  report.Gateway = core::InstanceId("g");
  report.Loads = {{core::RunnerId("r"), {12.5, 2, 3}}};
  rollout::AnswerCounts counts{9, 8, 2, 1, 7, 0.25, {}, {}};
  counts.Intervals.add(0, 20);
  counts.Intervals.add(0, 20);
  counts.Intervals.add(9, 900);
  counts.Durations.add(3, 120);
  report.Evidence = {
      {{core::ServiceId("s"), core::VersionId("v2"), "route"}, counts}};
  report.PinnedSessions = {1, 1ULL << 63};
  report.ExitsWithin = core::Millis(4'200);
  report.Configuration = core::Generation(41);
  report.Rollouts = {
      {{core::ServiceId("s"), core::VersionId("v2"), core::Millis(24'000)},
       rollout::RolloutPhase::Reverted,
       2,
       core::Millis(9'000)}};
  report.Prompts = {{1ULL << 63, core::RunnerId("r")},
                    {7, core::RunnerId("r2")}};
  report.Crashes.Breaks = {{core::RunnerId("r"),
                            1ULL << 63,
                            {core::ServiceId("s"), {3, 1ULL << 62}, 1ULL << 61},
                            core::Millis(-40)}};
  report.Crashes.Survivals = {
      {{core::ServiceId("s"), 3}, core::Millis(-700)},
      {{core::ServiceId("s"), 5, limits::TraitKind::Content},
       core::Millis(-60)}};
  report.Crashes.Quarantined = {
      {{core::ServiceId("s"), 4}, core::Millis(90'000)},
      {{core::ServiceId("s"), 4, limits::TraitKind::Content},
       core::Millis(80'000)}};
  report.RateLimits = {{{core::RunnerId("r"), 2.5}, core::Millis(40)},
                       {{core::RunnerId("r2"), std::nullopt}, core::Millis(0)}};
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
  EXPECT_EQ(decoded->Configuration, sampleReport().Configuration);
  EXPECT_EQ(decoded->Rollouts, sampleReport().Rollouts);
  EXPECT_EQ(decoded->Prompts, sampleReport().Prompts);
  EXPECT_EQ(decoded->Crashes.Breaks, sampleReport().Crashes.Breaks);
  EXPECT_EQ(decoded->Crashes.Survivals, sampleReport().Crashes.Survivals);
  EXPECT_EQ(decoded->Crashes.Quarantined, sampleReport().Crashes.Quarantined);
  EXPECT_EQ(decoded->RateLimits, sampleReport().RateLimits);
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

// Guards against gateways of two builds that ignore each other's reports during
// an upgrade.
TEST(PeerReportCodecTest, exchangesReportsWithBuildThatHasFewerElements) {
  using nlohmann::json;
  json message = json::from_msgpack(encodePeerReport(sampleReport()));
  EXPECT_EQ(message.at(0), 3);
  message.erase(message.begin() + 6, message.end());
  std::string bytes;
  json::to_msgpack(message, bytes);
  const auto decoded = decodePeerReport(bytes);
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->Loads, sampleReport().Loads);
  EXPECT_EQ(decoded->Configuration, core::Generation());
  EXPECT_TRUE(decoded->Rollouts.empty());
  EXPECT_TRUE(decoded->Crashes.Quarantined.empty());
}

// Guards against misreading the evidence of a build that knows prompt segments
// only: its entries on crashes are shorter.
TEST(PeerReportCodecTest, entriesWithoutAKindAreOfSegments) {
  using nlohmann::json;
  constexpr std::size_t CrashesIndex = 9;
  json message = json::from_msgpack(encodePeerReport(sampleReport()));
  for (json &list : message.at(CrashesIndex)) {
    for (json &entry : list)
      entry.erase(entry.size() - 1);
  }
  std::string bytes;
  json::to_msgpack(message, bytes);
  const auto decoded = decodePeerReport(bytes);
  ASSERT_TRUE(decoded.ok());
  ASSERT_EQ(decoded->Crashes.Breaks.size(), 1U);
  EXPECT_EQ(decoded->Crashes.Breaks.front().Traits.Content, 0U);
  ASSERT_EQ(decoded->Crashes.Quarantined.size(), 2U);
  EXPECT_EQ(decoded->Crashes.Quarantined.back().Trait.Kind,
            limits::TraitKind::PromptSegment);
}

// Guards against a stack overflow: the library's parser recurses.
TEST(PeerReportCodecTest, rejectsDeepNesting) {
  EXPECT_FALSE(decodePeerReport(std::string(65'507, '\x91')).ok());
  EXPECT_FALSE(decodePeerReport(std::string(65'507, '\x81')).ok());
}

} // namespace
