#pragma once

#include "cowslipridge/observe/EventLog.hpp"

#include <string>
#include <vector>

namespace cowslipridge::observe {

/// Returns the id of an event, `instance/incarnation/sequence`, to which the
/// `Cause` of another event refers.
std::string eventIdOf(const Event &event);

/// Merges the events of all processes into one sequence. The order within each
/// process is preserved, a cause precedes its effects regardless of clock skew,
/// and otherwise events are ordered by time. Duplicate events are dropped; a
/// cause that is not among the events is ignored.
std::vector<Event> mergeTimeline(std::vector<Event> events);

} // namespace cowslipridge::observe
