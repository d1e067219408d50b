#include "cowslipridge/observe/EventLog.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::observe;

namespace {

TEST(EventLog, ringIsBoundedAndOrdered) {
  core::ManualClock clock;
  EventLog log(clock, core::InstanceId("e1"), core::Incarnation(9), 3);
  for (int n = 0; n < 5; ++n)
    log.report(EventNumber::RequestReceived, {});
  const auto events = log.since(0);
  ASSERT_EQ(events.size(), 3U);
  EXPECT_EQ(events.front().Sequence, 3U);
  EXPECT_EQ(log.since(4).size(), 1U);
}

TEST(EventLog, reportReturnsTheEventId) {
  core::ManualClock clock;
  EventLog log(clock, core::InstanceId("e1"), core::Incarnation(9), 3);
  EXPECT_EQ(log.report(EventNumber::RequestReceived, {}), "e1/9/1");
}

} // namespace
