#pragma once

#include "cowslipridge/observe/EventLog.hpp"

#include <vector>

namespace cowslipridge::observe {

/// Fills in the causes that follow from what the events of one request say: a
/// run begins because an entry sent the request to that instance, and the
/// entry's next step follows from the end of the run. Causes that are given
/// stay; an attempt that cannot be told from another gets none.
std::vector<Event> inferCauses(std::vector<Event> events);

} // namespace cowslipridge::observe
