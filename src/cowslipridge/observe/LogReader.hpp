#pragma once

#include "cowslipridge/core/Finding.hpp"
#include "cowslipridge/observe/EventLog.hpp"

#include <istream>
#include <string>
#include <vector>

namespace cowslipridge::observe {

/// Reads the events of a log, one JSON object a line. What stands before the
/// object, such as a time that a collector put there, is passed over. Lines
/// that can't be read become findings.
std::vector<Event> readLog(std::istream &in, const std::string &file,
                           core::Findings &findings);

} // namespace cowslipridge::observe
