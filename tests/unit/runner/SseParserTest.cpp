#include "cowslipridge/runner/SseParser.hpp"

#include <gtest/gtest.h>

using cowslipridge::runner::SseEvent;
using cowslipridge::runner::SseParser;

namespace {

std::vector<SseEvent> parse(std::string_view text) {
  SseParser parser;
  return parser.feed(text);
}

TEST(SseParser, joinsDataLines) {
  EXPECT_EQ(parse("data: a\ndata: b\n\n"),
            (std::vector<SseEvent>{{"", "a\nb"}}));
}

TEST(SseParser, readsNamesAndSkipsComments) {
  EXPECT_EQ(parse(": ping\nevent: error\ndata:x\nid: 4\n\n"),
            (std::vector<SseEvent>{{"error", "x"}}));
}

TEST(SseParser, acceptsAllLineEndings) {
  const std::vector<SseEvent> two = {{"", "a"}, {"", "b"}};
  EXPECT_EQ(parse("data: a\r\n\r\ndata: b\r\n\r\n"), two);
  EXPECT_EQ(parse("data: a\r\rdata: b\r\r"), two);
}

TEST(SseParser, skipsTheByteOrderMark) {
  EXPECT_EQ(parse("\xEF\xBB\xBF"
                  "data: a\n\n"),
            (std::vector<SseEvent>{{"", "a"}}));
}

TEST(SseParser, unfinishedEventIsNotReported) {
  SseParser parser;
  EXPECT_TRUE(parser.feed("data: a\n").empty());
  EXPECT_TRUE(parser.midEvent());
}

TEST(SseParser, rejectsEventsOverTheSizeLimit) {
  SseParser parser;
  parser.feed("data: " + std::string(SseParser::MaxEventBytes, 'x'));
  EXPECT_TRUE(parser.failed());
  EXPECT_TRUE(parser.feed("\n\n").empty());
}

} // namespace
