#pragma once

#include "cowslipridge/observe/EventLog.hpp"

#include <string>
#include <vector>

namespace cowslipridge::observe {

/// The name of an event's place, as `Cause` gives it.
std::string eventIdOf(const Event &event);

/// Merges the events of all processes into one order: each process's own order
/// is kept, a cause stands before its effects however the clocks differ, and
/// else the earlier time comes first. Events that stand twice are kept once; a
/// cause that is not among the events is ignored.
std::vector<Event> mergeTimeline(std::vector<Event> events);

} // namespace cowslipridge::observe
