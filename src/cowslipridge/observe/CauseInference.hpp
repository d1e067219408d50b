#pragma once

#include "cowslipridge/observe/EventLog.hpp"

#include <vector>

namespace cowslipridge::observe {

/// Adds the causes that can be inferred from the events of each request: a run
/// starts because an entry routed the request to that instance, and the entry's
/// next step follows from the end of the run. Causes that are already set stay;
/// an event that cannot be matched gets none.
std::vector<Event> inferCauses(std::vector<Event> events);

} // namespace cowslipridge::observe
