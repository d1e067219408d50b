#pragma once

#include "cowslipridge/observe/EventLog.hpp"

#include <string>
#include <vector>

namespace cowslipridge::observe {

/// One line an event, for a terminal. Times are in UTC.
std::string showTimelineText(const std::vector<Event> &ordered);
/// One self-contained HTML page; each cause is a link to its event.
std::string showTimelineHtml(const std::vector<Event> &ordered);

} // namespace cowslipridge::observe
