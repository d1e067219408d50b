#include "cowslipridge/http1/ResponseParser.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

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

// Whatever its fields say of the body of a GET.
TEST(ResponseParserTest, responseToHeadRequestIsFramedAsOneWithoutABody) {
  for (const char *field :
       {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    std::string input = std::string("HTTP/1.1 200 OK\r\n") + field + "\r\n";
    ResponseParser parser(true);
    EXPECT_EQ(parser.parse(input), ResponseStatus::Complete) << field;
    EXPECT_EQ(parser.head().Body, Framing::None) << field;
  }
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

/// Returns the status of a parser that is given the whole text, or byte by
/// byte. The connection ends behind the text.
ResponseStatus parseWhole(const std::string &text) {
  std::string input = text;
  ResponseParser parser(false);
  const ResponseStatus status = parser.parse(input);
  return status == ResponseStatus::NeedMore ? parser.finish() : status;
}
ResponseStatus parseByteByByte(const std::string &text) {
  std::string input;
  ResponseParser parser(false);
  for (const char it : text) {
    input += it;
    const ResponseStatus status = parser.parse(input);
    if (status != ResponseStatus::NeedMore)
      return status;
  }
  return parser.finish();
}

void expectStatus(const std::string &text, ResponseStatus expected) {
  EXPECT_EQ(parseWhole(text), expected) << text;
  EXPECT_EQ(parseByteByByte(text), expected) << text;
}

/// Returns a response with a body of two bytes and these lines in its head.
std::string responseWith(const std::string &lines) {
  return "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 2\r\n\r\nok";
}

// Guards against callers that get an answer whose status is no status, as 000.
TEST(ResponseParserTest, acceptsExactlyTheStatusesOfFinalResponses) {
  constexpr int FirstFinal = 200;
  constexpr int EndOfStatuses = 600;
  constexpr int NumbersOfThreeDigits = 1'000;
  const auto isInterim = [](int status) {
    return status >= 100 && status < FirstFinal && status != 101;
  };
  for (int status = 0; status < NumbersOfThreeDigits; ++status) {
    if (isInterim(status))
      continue;
    std::string digits(4, '\0');
    digits.resize(static_cast<std::size_t>(
        std::snprintf(digits.data(), digits.size(), "%03d", status)));
    expectStatus("HTTP/1.1 " + digits + " Text\r\nContent-Length: 0\r\n\r\n",
                 status >= FirstFinal && status < EndOfStatuses
                     ? ResponseStatus::Complete
                     : ResponseStatus::Malformed);
  }
}

// Guards against a field that is passed on although its name is none.
TEST(ResponseParserTest, acceptsExactlyTheBytesOfTokensInNames) {
  const std::string others = "!#$%&'*+-.^_`|~";
  for (int byte = 0; byte < 256; ++byte) {
    const char it = static_cast<char>(byte);
    const bool isToken = (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') ||
                         (it >= 'A' && it <= 'Z') ||
                         others.find(it) != std::string::npos;
    const auto expected =
        isToken ? ResponseStatus::Complete : ResponseStatus::Malformed;
    const std::string first(1, it);
    expectStatus(responseWith(first + "ab: v\r\n"), expected);
    expectStatus(responseWith("A: v\r\n" + first + "ab: v\r\n"), expected);
    if (it == ':')
      continue; // ends the name
    expectStatus(responseWith("a" + first + "b: v\r\n"), expected);
    expectStatus(responseWith("ab" + first + ": v\r\n"), expected);
  }
}

// Guards against a field that is read as a part of the value before it, so that
// the body goes on with what follows it.
TEST(ResponseParserTest, linesThatContinueAnotherAndReadAsAFieldAreMalformed) {
  for (const std::string blank : {" ", "\t", " \t "}) {
    expectStatus(responseWith("A: v\r\n" + blank + "b: w\r\n"),
                 ResponseStatus::Malformed);
    expectStatus(responseWith("A: v\r\n" + blank + "b : w\r\n"),
                 ResponseStatus::Malformed);
    expectStatus("HTTP/1.1 200 OK\r\nA: v\r\n" + blank +
                     "Content-Length: 2\r\n\r\nok",
                 ResponseStatus::Malformed);
    expectStatus("HTTP/1.1 100 Continue\r\nA: v\r\n" + blank + "b: w\r\n\r\n" +
                     responseWith(""),
                 ResponseStatus::Malformed);
  }
}

TEST(ResponseParserTest, otherLinesThatContinueAnotherBelongToItsValue) {
  std::string input = responseWith("A: v\r\n  w x\r\n\ty\r\n");
  ResponseParser parser(false);
  EXPECT_EQ(parser.parse(input), ResponseStatus::Complete);
  EXPECT_EQ(parser.head().Fields.find("A"), "v w x y");
}

// Nothing of these is refused: sound servers send them.
TEST(ResponseParserTest, acceptsUnusualResponsesThatAreSound) {
  const std::string begin = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = begin + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  for (const std::string &text :
       {std::string("HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok"),
        std::string("HTTP/1.0 200 OK\r\n\r\nok"), hints + responseWith(""),
        responseWith("A:\r\n"), responseWith("A: b\tc\r\n"),
        responseWith("A: \x80\xff\r\n"), responseWith("A:v \r\n"),
        responseWith("Content-Length: 2\r\n"),
        begin + "Content-Length: 2, 2\r\n\r\nok",
        chunked + "2;a=b\r\nok\r\n0\r\nC: d\r\n\r\n"})
    expectStatus(text, ResponseStatus::Complete);
}

// Guards against a coded body that is passed on without its coding, and against
// a body whose chunks are passed on as if they were its text.
TEST(ResponseParserTest, transferCodingsOtherThanChunkedAreMalformed) {
  const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
  for (const char *coding :
       {"gzip", "identity", "xchunked", "gzip, chunked", "chunked, gzip",
        "chunked, chunked", ", chunked", "chunked;q=1", "\"chunked\"", ""})
    expectStatus(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ") +
                     coding + "\r\n\r\n" + chunks,
                 ResponseStatus::Malformed);
  expectStatus("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
               ResponseStatus::Malformed);
  expectStatus("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n" + chunks,
               ResponseStatus::Complete);
}

TEST(ResponseParserTest, lengthsThatAreNoNumberAreMalformed) {
  for (const char *length : {"", "2, 3", ",", "2,", "2 2", "+2", "-2", "0x2",
                             "2.0", "2;", "two", "18446744073709551618"})
    expectStatus(std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + length +
                     "\r\n\r\nok",
                 ResponseStatus::Malformed);
}

// The body that is announced would be taken for the next response.
TEST(ResponseParserTest, bodiesOfResponsesThatHaveNoneAreMalformed) {
  for (const char *status : {"204 No Content", "100 Continue"}) {
    const std::string begin = std::string("HTTP/1.1 ") + status + "\r\n";
    expectStatus(begin + "Content-Length: 2\r\n\r\nok",
                 ResponseStatus::Malformed);
    expectStatus(begin + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 ResponseStatus::Malformed);
  }
  expectStatus("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
               ResponseStatus::Complete);
}

TEST(ResponseParserTest, notModifiedHasNoBodyWhateverLengthItNames) {
  std::string input = "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n";
  ResponseParser parser(false);
  EXPECT_EQ(parser.parse(input), ResponseStatus::Complete);
  EXPECT_EQ(parser.head().Body, Framing::None);
}

// Guards against a statement or signature behind a body, which was taken for
// one of the head if it came with the head.
TEST(ResponseParserTest, trailersAreNoFieldsOfTheHead) {
  const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n2\r\nok\r\n0\r\nSignature: x\r\n"
                           "Connection: close\r\n\r\n";
  std::string input = text;
  ResponseParser parser(false);
  EXPECT_EQ(parser.parse(input), ResponseStatus::Complete);
  EXPECT_EQ(parser.takeBody(), "ok");
  EXPECT_FALSE(parser.head().Fields.find("Signature"));
  EXPECT_TRUE(parser.head().KeepAlive);
}

} // namespace
