#include "cowslipridge/http1/ResponseParser.hpp"

#include "support/BrokenAnswers.hpp"
#include "support/PropertyChecks.hpp"

#include <algorithm>
#include <string>
#include <vector>

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

constexpr int CaseCount = 20'000;

/// What a parser made of the bytes of one connection.
struct Reading {
  bool IsWhole = false;
  int Status = 0;
  HeaderFields Fields;
  std::string Body;

  friend bool operator==(const Reading &, const Reading &) = default;
};

/// Reads the text in pieces of these sizes, again and again, up to the end of
/// the connection.
Reading read(const std::string &text, const std::vector<std::size_t> &sizes) {
  ResponseParser parser(false);
  Reading reading;
  std::string input;
  ResponseStatus status = ResponseStatus::NeedMore;
  std::size_t at = 0;
  for (std::size_t n = 0; at < text.size(); ++n) {
    const std::size_t size = sizes.at(n % sizes.size());
    input += text.substr(at, size);
    at += size;
    status = parser.parse(input);
    reading.Body += parser.takeBody();
    if (status != ResponseStatus::NeedMore)
      break;
  }
  if (status == ResponseStatus::NeedMore)
    status = parser.finish();
  reading.IsWhole = status == ResponseStatus::Complete;
  if (!reading.IsWhole)
    return {};
  reading.Status = parser.head().Status;
  reading.Fields = parser.head().Fields;
  return reading;
}

/// Returns sound responses and broken ones.
std::vector<std::string> samples() {
  std::vector<std::string> texts = {
      "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nbo\r\n2\r\ndy\r\n0\r\nTrailer: x\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\nbody",
      "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n"};
  for (const support::BrokenAnswer &it : support::brokenAnswers("Id: a\r\n"))
    texts.push_back(it.Bytes);
  return texts;
}

/// Returns one of the samples in which some bytes are others.
std::string drawText() {
  const auto texts = samples();
  std::string text = *rc::gen::elementOf(texts);
  const auto changes = *rc::gen::inRange<std::size_t>(0, 4);
  for (std::size_t n = 0; n < changes; ++n) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text.at(at) = *rc::gen::elementOf(std::string("\r\n\t :,;0129aZ\x01\x7f"));
  }
  return text;
}

// Guards against answers that depend on how their bytes arrive, as trailers
// that come with the head.
TEST(ResponseProperty, readingDoesNotDependOnHowTheBytesArrive) {
  support::expectHolds(CaseCount, [] {
    const std::string text = drawText();
    const auto sizes =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(1, 40)));
    const bool isSame = read(text, {text.size()}) == read(text, sizes);
    RC_ASSERT(isSame);
  });
}

// No byte of a whole answer's head is one that its receiver may read in another
// way.
TEST(ResponseProperty, wholeAnswersHaveAStatusAndSoundFields) {
  support::expectHolds(CaseCount, [] {
    const std::string text = drawText();
    const Reading reading = read(text, {text.size()});
    if (!reading.IsWhole)
      return;
    const bool isStatus = reading.Status >= 200 && reading.Status < 600;
    RC_ASSERT(isStatus);
    for (const HeaderField it : reading.Fields) {
      const bool isSound =
          !it.Name.empty() &&
          it.Name.find_first_of(" \t:,;\r\n\x01\x7f") ==
              std::string_view::npos &&
          it.Value.find_first_of("\r\n\x01\x7f") == std::string_view::npos;
      RC_ASSERT(isSound);
    }
  });
}

} // namespace
