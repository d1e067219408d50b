#include "cowslipridge/observe/LogReader.hpp"

#include "cowslipridge/observe/EventCodec.hpp"

namespace cowslipridge::observe {

std::vector<Event> readLog(std::istream &in, const std::string &file,
                           core::Findings &findings) {
  std::vector<Event> events;
  std::string text;
  for (int line = 1; std::getline(in, text); ++line) {
    if (text.empty())
      continue;
    const std::size_t brace = text.find('{');
    auto event = decodeEvent(brace == std::string::npos ? std::string()
                                                        : text.substr(brace));
    if (event.ok())
      events.push_back(std::move(event).value());
    else
      findings.add({.File = file,
                    .Line = line,
                    .Section = "",
                    .Key = "",
                    .Message = "not an event of a log",
                    .Suggestion = ""});
  }
  return events;
}

} // namespace cowslipridge::observe
