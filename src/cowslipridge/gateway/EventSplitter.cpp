#include "cowslipridge/gateway/EventSplitter.hpp"

#include <charconv>
#include <utility>

namespace cowslipridge::gateway {

std::vector<StreamEvent> EventSplitter::push(std::string_view data) {
  std::vector<StreamEvent> events;
  std::size_t scanned = Partial.size();
  Partial += data;
  for (;;) {
    const std::size_t end = Partial.find('\n', scanned);
    if (end == std::string::npos)
      return events;
    std::string_view line(Partial.data() + LineStart, end - LineStart);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    scanned = end + 1;
    if (!line.empty()) {
      parseLine(line);
      LineStart = scanned;
      continue;
    }
    events.push_back({Partial.substr(0, scanned), std::exchange(Id, {})});
    Partial.erase(0, scanned);
    scanned = LineStart = 0;
  }
}

void EventSplitter::clear() {
  Partial.clear();
  LineStart = 0;
  Id.reset();
}

void EventSplitter::parseLine(std::string_view line) {
  constexpr std::string_view Field = "id:";
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
