#include "cowslipridge/gateway/EventSplitter.hpp"

#include <charconv>
#include <utility>

namespace cowslipridge::gateway {

std::vector<StreamEvent> EventSplitter::push(std::string_view data) {
  dropComplete();
  std::vector<StreamEvent> events;
  std::size_t scanned = Buffer.size();
  Buffer += data;
  for (;;) {
    const std::size_t end = Buffer.find('\n', scanned);
    if (end == std::string::npos)
      return events;
    std::string_view line(Buffer.data() + LineBegin, end - LineBegin);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    scanned = LineBegin = end + 1;
    if (line.empty())
      addEvent(LineBegin, events);
    else
      parseLine(line);
  }
}

void EventSplitter::dropComplete() {
  if (Begin == 0)
    return;
  Moved += Buffer.size() - Begin;
  Buffer.erase(0, Begin);
  LineBegin -= Begin;
  Begin = 0;
}

void EventSplitter::addEvent(std::size_t end,
                             std::vector<StreamEvent> &events) {
  const std::string_view bytes(Buffer.data() + Begin, end - Begin);
  Begin = end;
  const bool isAdjacent =
      !HasContent && !events.empty() && !events.back().HasContent;
  if (isAdjacent)
    events.back().Bytes = {events.back().Bytes.data(),
                           events.back().Bytes.size() + bytes.size()};
  else
    events.push_back({bytes, Id, HasContent});
  Id.reset();
  HasContent = false;
}

void EventSplitter::clear() {
  Buffer.clear();
  Begin = LineBegin = 0;
  Id.reset();
  HasContent = false;
}

void EventSplitter::parseLine(std::string_view line) {
  constexpr std::string_view Field = "id:";
  constexpr char CommentBegin = ':';
  HasContent = HasContent || line.front() != CommentBegin;
  if (!line.starts_with(Field))
    return;
  line.remove_prefix(Field.size());
  if (line.starts_with(' '))
    line.remove_prefix(1);
  std::uint64_t value = 0;
  const char *end = line.data() + line.size();
  const auto parsed = std::from_chars(line.data(), end, value);
  if (parsed.ec == std::errc() && parsed.ptr == end)
    Id = value;
}

} // namespace cowslipridge::gateway
