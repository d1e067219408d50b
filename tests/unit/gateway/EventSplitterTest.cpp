#include "cowslipridge/gateway/EventSplitter.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge::gateway;

namespace {

TEST(EventSplitterTest, returnsCompleteEventsForAnyChunkSize) {
  const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n"
                             "weight-versions: 3\nid: 30\ndata: c\n\n";
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    EventSplitter splitter;
    std::string joined;
    std::vector<std::uint64_t> ids;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      for (const StreamEvent &it : splitter.push(stream.substr(at, size))) {
        joined += it.Bytes;
        ids.push_back(it.Id.value_or(0));
      }
    }
    EXPECT_EQ(joined, stream) << size;
    EXPECT_EQ(ids, (std::vector<std::uint64_t>{1, 2, 30})) << size;
    EXPECT_FALSE(splitter.hasPartial());
  }
}

TEST(EventSplitterTest, holdsBackAnIncompleteEvent) {
  EventSplitter splitter;
  EXPECT_TRUE(splitter.push("id: 1\ndata: hal").empty());
  EXPECT_TRUE(splitter.hasPartial());
  splitter.clear();
  const auto events = splitter.push("id: 2\ndata: b\n\n");
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].Id, 2U);
}

} // namespace
