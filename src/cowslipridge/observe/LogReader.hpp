#pragma once

#include "cowslipridge/core/Finding.hpp"
#include "cowslipridge/observe/EventLog.hpp"

#include <istream>
#include <string>
#include <vector>

namespace cowslipridge::observe {

/// Reads the events of a log with one JSON object per line. Text before the
/// object, such as a timestamp that a log collector added, is ignored. Each
/// line that is not an event is reported in `findings`.
std::vector<Event> readLog(std::istream &in, const std::string &file,
                           core::Findings &findings);

} // namespace cowslipridge::observe
