#include "cowslipridge/limits/Admission.hpp"

#include <gtest/gtest.h>
#include <set>

using namespace cowslipridge;
using namespace cowslipridge::limits;

namespace {

Arrival makeArrival(const std::string &name, const std::string &organisation,
                    std::int64_t deadline = 100'000, std::int64_t work = 100) {
  Arrival arrival;
  arrival.Request = core::RequestId(name);
  arrival.Organisation = core::OrganisationId(organisation);
  arrival.Deadline = core::Millis(deadline);
  arrival.ExpectedWork = core::Millis(work);
  return arrival;
}

AdmissionActions started(const std::string &name) {
  return {StartRequest{core::RequestId(name)}};
}

AdmissionActions queued(const std::string &name) {
  return {QueueRequest{core::RequestId(name)}};
}

TEST(Admission, startsWhileThereIsCapacityThenQueues) {
  Admission admission({1, 1, 8}, 1);
  EXPECT_EQ(admission.arrive(makeArrival("a", "x"), {}), started("a"));
  EXPECT_EQ(admission.arrive(makeArrival("b", "x"), {}), queued("b"));
  EXPECT_EQ(admission.finish(core::RequestId("a"), core::Millis(100), false,
                             core::Millis(100)),
            started("b"));
}

TEST(Admission, startsEarliestDeadlineOfAnOrganisationFirst) {
  Admission admission({1, 1, 8}, 1);
  admission.arrive(makeArrival("a", "x"), {});
  admission.arrive(makeArrival("late", "x", 90'000), {});
  admission.arrive(makeArrival("early", "x", 50'000), {});
  EXPECT_EQ(admission.finish(core::RequestId("a"), core::Millis(100), false,
                             core::Millis(100)),
            started("early"));
}

TEST(Admission, floodDoesNotDelayAnotherOrganisation) {
  Admission admission({1, 1, 64}, 1);
  for (int n = 0; n < 40; ++n)
    admission.arrive(makeArrival("f" + std::to_string(n), "flood"), {});
  admission.arrive(makeArrival("q", "quiet"), {});
  EXPECT_EQ(admission.finish(core::RequestId("f0"), core::Millis(100), false,
                             core::Millis(100)),
            started("q"));
}

TEST(Admission, fullQueueRefusesRequestOfOrganisationWithMostQueuedWork) {
  Admission admission({1, 1, 4}, 1);
  for (int n = 0; n < 5; ++n)
    admission.arrive(makeArrival("f" + std::to_string(n), "flood"), {});
  const auto actions = admission.arrive(makeArrival("q", "quiet"), {});
  ASSERT_EQ(actions.size(), 2U);
  EXPECT_EQ(actions[0], AdmissionAction(QueueRequest{core::RequestId("q")}));
  EXPECT_TRUE(std::holds_alternative<RefuseRequest>(actions[1]));
}

TEST(Admission, refusesRequestThatCannotMeetItsDeadline) {
  Admission admission({1, 1, 64}, 1);
  for (int n = 0; n < 6; ++n)
    EXPECT_FALSE(std::holds_alternative<RefuseRequest>(
        admission.arrive(makeArrival("f" + std::to_string(n), "x", 1200), {})
            .front()));
  const auto actions = admission.arrive(makeArrival("q", "x", 1200), {});
  ASSERT_EQ(actions.size(), 1U);
  const auto &refusal = std::get<RefuseRequest>(actions[0]);
  EXPECT_EQ(refusal.Reason, core::Errc::Overloaded);
  EXPECT_GE(refusal.RetryAfter, core::Millis(350));
}

TEST(Admission, spreadsRetryAfterOfRefusedCallers) {
  Admission admission({1, 1, 1}, 1);
  std::set<core::Millis> times;
  for (int n = 0; n < 20; ++n) {
    for (const auto &action :
         admission.arrive(makeArrival("r" + std::to_string(n), "x"), {})) {
      if (const auto *refusal = std::get_if<RefuseRequest>(&action))
        times.insert(refusal->RetryAfter);
    }
  }
  EXPECT_GT(times.size(), 12U);
}

TEST(Admission, deferrableWorkLeavesCapacityForOtherWork) {
  Admission admission({8, 1, 64}, 1);
  for (int n = 0; n < 20; ++n) {
    Arrival draft = makeArrival("d" + std::to_string(n), "league", 1'000'000);
    draft.Deferrable = true;
    admission.arrive(draft, {});
  }
  EXPECT_EQ(admission.inFlight(), 7U);
  EXPECT_EQ(admission.arrive(makeArrival("q", "quiet"), {}), started("q"));
}

TEST(Admission, startsDeferrableWorkInTimeForItsDeadline) {
  Admission admission({2, 1, 64}, 1);
  admission.arrive(makeArrival("a", "x"), {});
  admission.arrive(makeArrival("b", "x"), {});
  Arrival draft = makeArrival("draft", "league", 1000);
  draft.Deferrable = true;
  EXPECT_EQ(admission.arrive(draft, {}), queued("draft"));
  admission.arrive(makeArrival("c", "x"), {});
  admission.tick(core::Millis(700));
  const auto actions = admission.finish(core::RequestId("a"), core::Millis(100),
                                        false, core::Millis(710));
  const auto next = admission.finish(core::RequestId("b"), core::Millis(100),
                                     false, core::Millis(720));
  EXPECT_TRUE(actions == started("draft") || next == started("draft"));
}

TEST(Admission, newSettingsApplyToLaterRequests) {
  Admission admission({4, 4, 8}, 1);
  admission.arrive(makeArrival("a", "x"), {});
  admission.arrive(makeArrival("b", "x"), {});
  admission.reconfigure({1, 1, 1});
  EXPECT_EQ(admission.concurrencyLimit(), 1U);
  EXPECT_EQ(admission.arrive(makeArrival("c", "x"), {}), queued("c"));
  const auto refused = admission.arrive(makeArrival("d", "x"), {});
  EXPECT_TRUE(std::holds_alternative<RefuseRequest>(refused.back()));
  admission.finish(core::RequestId("a"), core::Millis(100), false,
                   core::Millis(100));
  EXPECT_EQ(admission.queued(), 1U);
  EXPECT_EQ(admission.finish(core::RequestId("b"), core::Millis(100), false,
                             core::Millis(100)),
            started("c"));
}

TEST(Admission, cancelledRequestFreesItsSlot) {
  Admission admission({1, 1, 8}, 1);
  admission.arrive(makeArrival("a", "x"), {});
  admission.arrive(makeArrival("b", "x"), {});
  EXPECT_EQ(admission.cancel(core::RequestId("a"), core::Millis(10)),
            started("b"));
}

TEST(Admission, estimatesUnknownWorkFromRequestsThatRanAlone) {
  Admission admission({1, 1, 64}, 1);
  for (int n = 0; n < 20; ++n) {
    const std::string name = "r" + std::to_string(n);
    admission.arrive(makeArrival(name, "x", 1'000'000, 0), {});
    admission.finish(core::RequestId(name), core::Millis(500), false, {});
  }
  admission.arrive(makeArrival("a", "x", 1'000'000, 0), {});
  admission.arrive(makeArrival("b", "x", 1'000'000, 0), {});
  const auto wait = admission.predictedWait({}).count();
  EXPECT_GE(wait, 900);
  EXPECT_LE(wait, 1100);
}

// Guards against a first burst of requests of unknown run time that reduces the
// limit or raises the estimate so far that the next requests are not started.
TEST(Admission, startsRequestsAfterFirstBurstOfUnknownWork) {
  Admission admission({32, 1, 64}, 1);
  for (int n = 0; n < 8; ++n)
    admission.arrive(makeArrival("r" + std::to_string(n), "x", 9000, 0), {});
  for (int n = 0; n < 8; ++n)
    admission.finish(core::RequestId("r" + std::to_string(n)),
                     core::Millis(500), false, core::Millis(500));
  for (int n = 0; n < 8; ++n)
    EXPECT_EQ(
        admission.arrive(makeArrival("s" + std::to_string(n), "x", 3000, 0),
                         core::Millis(600)),
        started("s" + std::to_string(n)));
}

} // namespace
