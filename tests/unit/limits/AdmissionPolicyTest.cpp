#include "cowslipridge/limits/AdmissionPolicy.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

constexpr Millis Now{10'000};

AdmissionFacts factsOf(int rank, Millis waiting) {
  AdmissionFacts facts;
  facts.Rank = rank;
  facts.ArrivedAt = Now;
  facts.Target = Millis(2'000);
  facts.ShortestTarget = Millis(1'500);
  facts.Deadline = Now + Millis(8'000);
  facts.Work = {Millis(400), {}, Millis(1'000)};
  facts.Work.Ahead.fill(waiting);
  return facts;
}

const Capacity Fresh{{}, Millis(200)};

int priorityOf(const AdmissionFacts &facts) {
  return std::get<SendNow>(AdmissionPolicy::decide(facts, Fresh, Now))
      .EnginePriority;
}

// Guards against a changed order while there is capacity for all.
TEST(AdmissionPolicyTest, withoutScarcityTheRankIsSent) {
  for (int rank = 0; rank <= 9; ++rank) {
    AdmissionFacts facts = factsOf(rank, Millis(374));
    facts.MoreUrgentWaiting = 9;
    EXPECT_EQ(priorityOf(facts), rank);
  }
}

TEST(AdmissionPolicyTest, underScarcityTheStepsOfARankFollowEachOther) {
  AdmissionFacts facts = factsOf(1, Millis(400));
  EXPECT_EQ(priorityOf(facts), 4);
  facts.OverShare = true;
  EXPECT_EQ(priorityOf(facts), 5);
  facts.Returned = true;
  EXPECT_EQ(priorityOf(facts), 3);
  EXPECT_EQ(priorityOf(factsOf(1, Millis(1'601))), 5);
  EXPECT_EQ(priorityOf(factsOf(9, Millis(400))), 9);
}

// Guards against a less urgent request that keeps its plain rank, as its own
// target is long, and overtakes a more urgent one whose rank is multiplied.
TEST(AdmissionPolicyTest, allRequestsOfAServiceMeetScarcityAtTheSameWait) {
  AdmissionFacts facts = factsOf(2, Millis(400));
  facts.Target = Millis(6'000);
  EXPECT_EQ(priorityOf(facts), 7);
}

TEST(AdmissionPolicyTest, lessUrgentRequestIsHeldWhileItHasSlack) {
  AdmissionFacts facts = factsOf(1, Millis(400));
  facts.MoreUrgentWaiting = 1;
  EXPECT_EQ(AdmissionPolicy::decide(facts, Fresh, Now),
            AdmissionDecision(
                HoldUntil{Now + Millis(1'000), {1, Now + Millis(1'600)}}));
  facts.Work.FirstToken = Millis(1'500);
  EXPECT_EQ(
      AdmissionPolicy::decide(facts, Fresh, Now),
      AdmissionDecision(HoldUntil{Now + Millis(500), {1, Now + Millis(500)}}));
  EXPECT_TRUE(std::holds_alternative<SendNow>(
      AdmissionPolicy::decide(facts, Fresh, Now + Millis(500))));
  facts.Returned = true;
  EXPECT_TRUE(std::holds_alternative<SendNow>(
      AdmissionPolicy::decide(facts, Fresh, Now)));
}

// Guards against a backlog of late requests that makes all later ones late,
// and against rejections because of work that is less urgent.
TEST(AdmissionPolicyTest, onlyRequestsAheadOfItMakeARequestLate) {
  AdmissionFacts facts = factsOf(1, Millis(9'000));
  facts.Work.Ahead[4] = Millis(1'000);
  facts.Work.Ahead[5] = Millis(7'000);
  EXPECT_EQ(priorityOf(facts), 4);
  facts.Work.Ahead[4] = Millis(2'000);
  EXPECT_EQ(priorityOf(facts), 5);
}

// Guards against requests that are held because of loads of the past.
TEST(AdmissionPolicyTest, nothingIsHeldBecauseOfOldReports) {
  AdmissionFacts facts = factsOf(2, Millis(3'000));
  facts.MoreUrgentWaiting = 5;
  EXPECT_EQ(AdmissionPolicy::decide(facts, {{}, Millis(1'001)}, Now),
            AdmissionDecision(SendNow{2}));
}

// Guards against starvation of the last rank while the first ones need the
// whole capacity.
TEST(AdmissionPolicyTest, rarelyServedKindGoesBeforeAllRanks) {
  AdmissionFacts facts = factsOf(2, Millis(7'000));
  facts.Work.Ahead[0] = Millis(100);
  facts.MoreUrgentWaiting = 5;
  facts.RarelyServed = true;
  EXPECT_EQ(priorityOf(facts), 0);
  facts.RarelyServed = false;
  facts.SizeRarelyServed = true;
  EXPECT_EQ(priorityOf(facts), 6);
}

TEST(AdmissionPolicyTest, requestWithoutTimeIsRejectedAtOnce) {
  EXPECT_EQ(AdmissionPolicy::decide(factsOf(0, Millis(7'700)), Fresh, Now),
            AdmissionDecision(RejectNow{Millis(100)}));
}

TEST(CapacityTest, sumsOverFailureDomains) {
  const Capacity capacity{{{core::FailureDomainId("a"), {2, 300, 1, 2, 16}},
                           {core::FailureDomainId("b"), {1, 600, 3, 4, 8}}},
                          Millis(0)};
  EXPECT_EQ(capacity.total(), (DomainCapacity{3, 900, 4, 6, 24}));
  EXPECT_EQ(capacity.pendingPerRunner(), 300);
  EXPECT_EQ(Capacity().pendingPerRunner(), 0);
}

} // namespace
