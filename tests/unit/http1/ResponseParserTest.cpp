#include "cowslipridge/http1/ResponseParser.hpp"

#include <gtest/gtest.h>

#include <string>

using namespace cowslipridge::http1;

namespace {

TEST(ResponseParserTest, readsContentLengthBodyAndKeepsFollowingBytes) {
  std::string input = "HTTP/1.1 200 Fine\r\nContent-Length: 2\r\n\r\nokHTTP";
  ResponseParser parser(false);
  EXPECT_EQ(parser.parse(input), ResponseStatus::Complete);
  EXPECT_EQ(parser.head().Status, 200);
  EXPECT_EQ(parser.head().Reason, "Fine");
  EXPECT_EQ(parser.head().Body, Framing::Length);
  EXPECT_EQ(parser.takeBody(), "ok");
  EXPECT_EQ(input, "HTTP");
}

TEST(ResponseParserTest, bodyWithoutLengthEndsWhenConnectionCloses) {
  std::string input = "HTTP/1.1 200 OK\r\n\r\npart";
  ResponseParser parser(false);
  EXPECT_EQ(parser.parse(input), ResponseStatus::NeedMore);
  EXPECT_EQ(parser.head().Body, Framing::UntilClose);
  EXPECT_EQ(parser.takeBody(), "part");
  EXPECT_EQ(parser.finish(), ResponseStatus::Complete);
}

TEST(ResponseParserTest, truncatedResponseIsMalformedAtEndOfStream) {
  for (const std::string text :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "HTTP/1.1 200 O"}) {
    std::string input = text;
    ResponseParser parser(false);
    EXPECT_EQ(parser.parse(input), ResponseStatus::NeedMore);
    EXPECT_EQ(parser.finish(), ResponseStatus::Malformed) << text;
  }
}

TEST(ResponseParserTest, skipsInterimResponses) {
  std::string input = "HTTP/1.1 100 Continue\r\n\r\n"
                      "HTTP/1.1 204 No Content\r\n\r\n";
  ResponseParser parser(false);
  EXPECT_EQ(parser.parse(input), ResponseStatus::Complete);
  EXPECT_EQ(parser.head().Status, 204);
}

TEST(ResponseParserTest, responseToHeadRequestHasNoBody) {
  std::string input = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
  ResponseParser parser(true);
  EXPECT_EQ(parser.parse(input), ResponseStatus::Complete);
}

TEST(ResponseParserTest, rejectsInvalidResponses) {
  const std::string twoLengths = std::string("HTTP/1.1 200 OK\r\n") +
                                 "Content-Length: 2\r\n" +
                                 "Content-Length: 3\r\n\r\nab";
  const std::string twoFramings = std::string("HTTP/1.1 200 OK\r\n") +
                                  "Content-Length: 2\r\n" +
                                  "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &text : std::vector<std::string>{
           "garbage\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", twoLengths,
           twoFramings, "HTTP/1.1 101 Switching Protocols\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    std::string input = text;
    ResponseParser parser(false);
    EXPECT_EQ(parser.parse(input), ResponseStatus::Malformed) << text;
  }
}

} // namespace
