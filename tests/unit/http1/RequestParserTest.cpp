#include "cowslipridge/http1/RequestParser.hpp"

#include <gtest/gtest.h>

#include <string>

using namespace cowslipridge::http1;

namespace {

ParseStatus parseAll(std::string text, RequestLimits limits = {}) {
  RequestParser parser(limits);
  return parser.parse(text);
}

TEST(RequestParserTest, readsRequestWithContentLength) {
  std::string input = "POST /a/b?q=1 HTTP/1.1\r\nHost: h\r\nX: y\r\n"
                      "Content-Length: 3\r\n\r\nabcGET";
  RequestParser parser({});
  EXPECT_EQ(parser.parse(input), ParseStatus::Complete);
  EXPECT_EQ(parser.head().Method, "POST");
  EXPECT_EQ(parser.head().Target, "/a/b?q=1");
  EXPECT_EQ(parser.head().Fields.find("x"), "y");
  EXPECT_EQ(parser.body(), "abc");
  EXPECT_EQ(input, "GET") << "the next request remains in the input";
}

TEST(RequestParserTest, readsChunkedBodyByteByByte) {
  const std::string text = "POST / HTTP/1.1\r\nHost: h\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "2;x=y\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  RequestParser parser({});
  std::string input;
  ParseStatus status = ParseStatus::NeedMore;
  for (const char c : text) {
    ASSERT_EQ(status, ParseStatus::NeedMore);
    input += c;
    status = parser.parse(input);
  }
  EXPECT_EQ(status, ParseStatus::Complete);
  EXPECT_EQ(parser.body(), "abc");
}

// Guards against fields behind a body that count as those of the head if they
// come with it.
TEST(RequestParserTest, trailersAreNoFieldsOfTheHead) {
  std::string input = "POST / HTTP/1.1\r\nHost: h\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "1\r\na\r\n0\r\nKey: x\r\n\r\n";
  RequestParser parser({});
  EXPECT_EQ(parser.parse(input), ParseStatus::Complete);
  EXPECT_EQ(parser.body(), "a");
  EXPECT_FALSE(parser.head().Fields.find("Key"));
}

// Guards against request smuggling: with ambiguous framing, a second request
// can be hidden in the body of the first.
TEST(RequestParserTest, rejectsAmbiguousFraming) {
  const std::string host = "POST / HTTP/1.1\r\nHost: h\r\n";
  for (const std::string fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3, 3\r\n", "Content-Length: +3\r\n",
        "Content-Length: 0x3\r\n", "Content-Length: -1\r\n",
        "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding : chunked\r\n", "Content-Length : 3\r\n"})
    EXPECT_EQ(parseAll(host + fields + "\r\nabc"), ParseStatus::Malformed)
        << fields;
}

TEST(RequestParserTest, rejectsInvalidRequests) {
  for (const std::string text :
       {"GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "GET /\r\n\r\n",
        "\x16\x03\x01 hello\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"})
    EXPECT_EQ(parseAll(text), ParseStatus::Malformed) << text;
}

TEST(RequestParserTest, enforcesHeaderAndBodyLimits) {
  const RequestLimits limits{256, 8};
  const std::string host = "POST / HTTP/1.1\r\nHost: h\r\n";
  EXPECT_EQ(parseAll(host + "X: " + std::string(300, 'a') + "\r\n\r\n", limits),
            ParseStatus::HeaderTooLarge);
  EXPECT_EQ(parseAll(host + "Content-Length: 9\r\n\r\n", limits),
            ParseStatus::BodyTooLarge);
  EXPECT_EQ(parseAll(host + "Transfer-Encoding: chunked\r\n\r\n"
                            "9\r\n123456789\r\n0\r\n\r\n",
                     limits),
            ParseStatus::BodyTooLarge);
  EXPECT_EQ(parseAll(host + "Content-Length: 8\r\n\r\n12345678", limits),
            ParseStatus::Complete);
}

// Guards against a length that is reserved before it is compared with the
// limit.
TEST(RequestParserTest, rejectsLengthsThatNoProcessCanHold) {
  for (const char *length : {"4611686018427387904", "18446744073709551615"})
    EXPECT_EQ(parseAll("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                           std::string(length) + "\r\n\r\nx",
                       RequestLimits{256, 8}),
              ParseStatus::BodyTooLarge)
        << length;
}

TEST(RequestParserTest, reportsConnectionCloseAsNotKeepAlive) {
  std::string input = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  RequestParser parser({});
  ASSERT_EQ(parser.parse(input), ParseStatus::Complete);
  EXPECT_FALSE(parser.head().KeepAlive);
}

} // namespace
