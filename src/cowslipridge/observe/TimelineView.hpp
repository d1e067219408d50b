#pragma once

#include "cowslipridge/observe/EventLog.hpp"

#include <string>
#include <vector>

namespace cowslipridge::observe {

/// Formats events for a terminal, one per line. Times are in UTC.
std::string showTimelineText(const std::vector<Event> &ordered);
/// Formats events as a self-contained HTML page; each cause links to its event.
std::string showTimelineHtml(const std::vector<Event> &ordered);

} // namespace cowslipridge::observe
