#include "cowslipridge/gateway/EventDetails.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

TEST(EventDetailsTest, countsKeysWithoutLoggingThem) {
  catalogue::Catalogue before;
  before.Organisations = {
      {core::OrganisationId("one"), {"secret-1"}, std::nullopt}};
  catalogue::Catalogue after = before;
  after.Organisations->front().ApiKeys = {"secret-2", "secret-3"};
  EXPECT_EQ(describe(after, &before),
            "routes=0 services=0 organisations=1 keys=2 keys_added=2 "
            "keys_removed=1");
  EXPECT_EQ(describe(after, nullptr).find("secret"), std::string::npos);
}

TEST(EventDetailsTest, describesAnEjectionWithOutcomeAndDuration) {
  EXPECT_EQ(describe({core::RunnerId("r"), Millis(2'000), 2},
                     AttemptOutcome::TimedOut),
            "runner=r outcome=timed-out ejections=2 for_ms=2000");
  EXPECT_EQ(
      describe({core::RunnerId("r"), Millis(), 2}, AttemptOutcome::Served),
      "runner=r outcome=served ejections=2");
}

// A call that was reported as not connected, although its request was sent, may
// have run: the log has to show it.
TEST(EventDetailsTest, describesHowFarAFailedCallHadCome) {
  http1::CallProgress call;
  call.Age = Millis(431);
  EXPECT_EQ(describe(call),
            "connection=0 reused=no connected=no sent=no call_ms=431");
  call.Connected = call.Sent = true;
  EXPECT_EQ(describe(call),
            "connection=0 reused=no connected=yes sent=yes call_ms=431");
  call.Defect = "bad status";
  EXPECT_EQ(describe(call), "connection=0 reused=no connected=yes sent=yes "
                            "call_ms=431 defect=bad status");
}

TEST(EventDetailsTest, describesALowConfidenceAnswerWithTheLargerForecast) {
  EXPECT_EQ(describe({12, std::nullopt}), "confidence=12 larger=none");
  EXPECT_EQ(describe({12, route::TierForecast{Millis(900), Millis(250),
                                              Millis(4'000)}}),
            "confidence=12 larger_first_ms=900 larger_wait_ms=250 "
            "larger_whole_ms=4000");
}

} // namespace
