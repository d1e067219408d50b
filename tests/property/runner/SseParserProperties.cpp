#include "cowslipridge/runner/SseParser.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using cowslipridge::runner::SseEvent;
using cowslipridge::runner::SseParser;

namespace {

constexpr int CaseCount = 10'000;
const std::string Alphabet = "ab:\r\n d";

std::vector<SseEvent> parseInChunks(const std::string &text,
                                    const std::vector<std::size_t> &cuts) {
  SseParser parser;
  std::vector<SseEvent> events;
  std::size_t from = 0;
  for (const std::size_t it : cuts) {
    const std::size_t size = it % 7;
    for (SseEvent &event : parser.feed(text.substr(from, size)))
      events.push_back(std::move(event));
    from = std::min(text.size(), from + size);
  }
  for (SseEvent &event : parser.feed(text.substr(from)))
    events.push_back(std::move(event));
  return events;
}

rc::Gen<std::string> streamText() {
  const auto piece = rc::gen::oneOf(
      rc::gen::elementOf(
          std::vector<std::string>{"data: ", "data:", "event: ", "\n\n", "\r\n",
                                   "\r", "\n", "\xEF\xBB\xBF"}),
      rc::gen::container<std::string>(rc::gen::elementOf(Alphabet)));
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece),
                      [](const std::vector<std::string> &pieces) {
                        std::string text;
                        for (const std::string &it : pieces)
                          text += it;
                        return text;
                      });
}

TEST(SseParserProperties, resultDoesNotDependOnChunkBoundaries) {
  cowslipridge::support::expectHolds(CaseCount, [] {
    const std::string text = *streamText();
    const auto cuts = *rc::gen::arbitrary<std::vector<std::size_t>>();
    SseParser reference;
    RC_ASSERT(parseInChunks(text, cuts) == reference.feed(text));
  });
}

TEST(SseParserProperties, eventsSurviveARoundTrip) {
  cowslipridge::support::expectHolds(CaseCount, [] {
    const auto word = rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("ab: d")));
    const auto texts = *rc::gen::container<std::vector<std::string>>(word);
    const std::string ending =
        *rc::gen::elementOf(std::vector<std::string>{"\n", "\r\n", "\r"});
    std::string stream;
    for (const std::string &it : texts)
      stream.append("data: ").append(it).append(ending).append(ending);
    const auto cuts = *rc::gen::arbitrary<std::vector<std::size_t>>();
    const auto events = parseInChunks(stream, cuts);
    RC_ASSERT(events.size() == texts.size());
    for (std::size_t n = 0; n < texts.size(); ++n)
      RC_ASSERT(events[n].Data == texts[n]);
  });
}

TEST(SseParserProperties, arbitraryBytesNeverThrow) {
  cowslipridge::support::expectHolds(CaseCount, [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    SseParser parser;
    parser.feed(bytes);
    parser.feed("\n\ndata: x\n\n");
  });
}

} // namespace
