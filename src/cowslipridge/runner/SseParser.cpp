#include "cowslipridge/runner/SseParser.hpp"

#include <utility>

namespace cowslipridge::runner {

namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

} // namespace

std::vector<SseEvent> SseParser::feed(std::string_view bytes) {
  std::vector<SseEvent> events;
  for (const char it : bytes) {
    if (Failed)
      break;
    consumeByte(it, events);
  }
  return events;
}

bool SseParser::midEvent() const { return !Line.empty() || HasData; }

// A line ends with CR, LF or CRLF.
void SseParser::consumeByte(char byte, std::vector<SseEvent> &events) {
  const bool secondOfPair = byte == '\n' && AfterReturn;
  AfterReturn = byte == '\r';
  if (secondOfPair)
    return;
  if (byte == '\r' || byte == '\n') {
    consumeLine(events);
    return;
  }
  Line.push_back(byte);
  Failed = Line.size() + Current.Data.size() > MaxEventBytes;
}

void SseParser::consumeLine(std::vector<SseEvent> &events) {
  const std::string text = std::exchange(Line, {});
  std::string_view line = text;
  if (std::exchange(AtStart, false) && line.starts_with(ByteOrderMark))
    line.remove_prefix(ByteOrderMark.size());
  if (line.empty()) {
    if (HasData)
      events.push_back(std::move(Current));
    Current = {};
    HasData = false;
    return;
  }
  const std::size_t colon = line.find(':');
  if (colon == 0)
    return; // a comment
  if (colon == std::string_view::npos) {
    consumeField(line, {});
    return;
  }
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' '))
    value.remove_prefix(1);
  consumeField(line.substr(0, colon), value);
}

void SseParser::consumeField(std::string_view name, std::string_view value) {
  if (name == "event") {
    Current.Name = value;
    return;
  }
  if (name != "data")
    return;
  if (HasData)
    Current.Data += '\n';
  Current.Data += value;
  HasData = true;
}

} // namespace cowslipridge::runner
