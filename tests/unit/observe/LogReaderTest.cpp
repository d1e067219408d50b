#include "cowslipridge/observe/LogReader.hpp"
#include "cowslipridge/observe/EventCodec.hpp"

#include <gtest/gtest.h>

#include <sstream>

using namespace cowslipridge;
using namespace cowslipridge::observe;

namespace {

TEST(LogReaderTest, readsEventsAndReportsInvalidLines) {
  Event event;
  event.Number = EventNumber::RequestRefused;
  event.Request = core::RequestId("r");
  event.Detail = "status=503 {no runner}";
  std::stringstream log;
  log << encodeEvent(event) << "\n  12.5 edge-1 " << encodeEvent(event)
      << "\n\ntruncated {\"event\": 40\nnot json\n";
  core::Findings findings;
  const auto events = readLog(log, "a.log", findings);
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(events[1].Detail, event.Detail);
  ASSERT_EQ(findings.items().size(), 2U);
  EXPECT_EQ(findings.items()[0].Line, 4);
  EXPECT_EQ(findings.items()[1].File, "a.log");
}

} // namespace
