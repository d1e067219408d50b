#pragma once

#include "soak/History.hpp"
#include "soak/Promises.hpp"

#include <vector>

namespace cowslipridge::soak {

/// Returns the requests that runners were handed with more time than their
/// callers had left, if these are more than the users allow.
[[nodiscard]] std::vector<Violation> findLongDeadlines(const History &history);

} // namespace cowslipridge::soak
