#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/observe/EventLog.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::observe {

/// One event as a line of JSON, as it goes to the log and to operators.
std::string encodeEvent(const Event &event);
/// `{"events": [...]}`, the body of /admin/timeline.
std::string encodeEvents(const std::vector<Event> &events);
/// Errc::Malformed when `text` is no such body.
core::Result<std::vector<Event>> decodeEvents(std::string_view text);

} // namespace cowslipridge::observe
