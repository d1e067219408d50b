#include "cowslipridge/observe/TimelineMerge.hpp"
#include "cowslipridge/observe/TimelineView.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::observe;
using testing::HasSubstr;
using testing::Not;

namespace {

Event makeEvent(const std::string &instance, std::uint64_t sequence,
                std::int64_t at, const std::string &cause = "") {
  Event event;
  event.Number = EventNumber::RequestRouted;
  event.At = core::Millis(at);
  event.Sequence = sequence;
  event.Instance = core::InstanceId(instance);
  event.Start = core::Incarnation(1);
  event.Cause = cause;
  return event;
}

std::vector<std::string> eventIdsOf(const std::vector<Event> &events) {
  std::vector<std::string> ids;
  ids.reserve(events.size());
  for (const Event &it : events)
    ids.push_back(eventIdOf(it));
  return ids;
}

TEST(TimelineMerge, effectFollowsItsCauseDespiteClockSkew) {
  const auto merged =
      mergeTimeline({makeEvent("b", 1, 10, "a/1/1"), makeEvent("a", 1, 500),
                     makeEvent("c", 1, 100)});
  EXPECT_EQ(eventIdsOf(merged),
            (std::vector<std::string>{"c/1/1", "a/1/1", "b/1/1"}));
}

TEST(TimelineMerge, dropsDuplicateEvents) {
  EXPECT_EQ(mergeTimeline({makeEvent("a", 1, 1), makeEvent("a", 1, 1)}).size(),
            1U);
}

TEST(TimelineMerge, cycleOfInvalidCausesLosesNoEvent) {
  const auto merged =
      mergeTimeline({makeEvent("a", 1, 1, "b/1/2"), makeEvent("a", 2, 2),
                     makeEvent("b", 1, 1, "a/1/2"), makeEvent("b", 2, 2)});
  EXPECT_EQ(merged.size(), 4U);
}

TEST(TimelineView, textHasOneLinePerEventAndNoControlCharacters) {
  Event event = makeEvent("a", 1, 1'700'000'000'123, "b/1/7");
  event.Request = core::RequestId("k-9");
  event.Detail = "to\x1b[31m red\n";
  EXPECT_EQ(showTimelineText({event}),
            "2023-11-14T22:13:20.123Z a/1/1 401 request-routed generation=0 "
            "request=k-9 to?[31m red? <- b/1/7\n");
}

TEST(TimelineView, htmlEscapesEventDetails) {
  Event event = makeEvent("a", 1, 1, "b/1/7");
  event.Detail = "<script>";
  const std::string page = showTimelineHtml({event});
  EXPECT_THAT(page, HasSubstr("&lt;script&gt;"));
  EXPECT_THAT(page, Not(HasSubstr("<script>")));
  EXPECT_THAT(page, HasSubstr("<a href=\"#b/1/7\">"));
}

} // namespace
