#include "cowslipridge/limits/TraitQuarantine.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

const RequestTrait Segment{core::ServiceId("llm"), 7};
constexpr Millis Start{1'000};

TEST(TraitQuarantineTest, holdsASegmentForItsTime) {
  TraitQuarantine quarantine;
  EXPECT_TRUE(quarantine.add(Segment, Start));
  EXPECT_FALSE(quarantine.add(Segment, Start + Millis(5)));
  const auto found = quarantine.find({Segment.Service, {1, 7}}, Start);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->Remaining, TraitQuarantine::Duration);
  EXPECT_FALSE(quarantine.find({Segment.Service, {1}}, Start));
  EXPECT_FALSE(quarantine.find({core::ServiceId("other"), {7}}, Start));
  const Millis end = Start + TraitQuarantine::Duration;
  EXPECT_FALSE(quarantine.find({Segment.Service, {7}}, end));
  quarantine.tick(end);
  EXPECT_EQ(quarantine.size(), 0U);
}

// Guards against gateways that hand a segment to each other without end.
TEST(TraitQuarantineTest, gatewaysThatCopyFromEachOtherReleaseTheSegment) {
  constexpr Millis Latency{900};
  TraitQuarantine first;
  TraitQuarantine second;
  first.add(Segment, Start);
  Millis now = Start;
  for (; first.size() + second.size() > 0; now = now + Millis(1'000)) {
    ASSERT_LT(now, Start + TraitQuarantine::Duration * 2);
    const auto fromFirst = first.list(9, now);
    const auto fromSecond = second.list(9, now);
    for (const auto &it : fromFirst)
      second.adopt(it, now + Latency);
    for (const auto &it : fromSecond)
      first.adopt(it, now + Latency);
    first.tick(now);
    second.tick(now);
  }
  EXPECT_GE(now, Start + TraitQuarantine::Duration);
}

TEST(TraitQuarantineTest, boundsTheListAndTheAdoptedTime) {
  TraitQuarantine quarantine;
  EXPECT_TRUE(
      quarantine.adopt({Segment, TraitQuarantine::Duration * 100}, Start));
  EXPECT_EQ(quarantine.list(9, Start).front().Remaining,
            TraitQuarantine::Duration);
  quarantine.add({Segment.Service, 8}, Start + Millis(10));
  const auto one = quarantine.list(1, Start + Millis(10));
  ASSERT_EQ(one.size(), 1U);
  EXPECT_EQ(one.front().Trait.Id, 8U);
}

} // namespace
