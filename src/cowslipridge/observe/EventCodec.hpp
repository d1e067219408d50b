#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/observe/EventLog.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::observe {

/// One event as a line of JSON, as it goes to the log and to operators.
std::string encodeEvent(const Event &event);
/// Errc::Malformed when `line` is not what encodeEvent writes.
core::Result<Event> decodeEvent(std::string_view line);
/// `{"events": [...]}`, the body of /admin/timeline.
std::string encodeEvents(const std::vector<Event> &events);
/// Errc::Malformed when `text` is no such body.
core::Result<std::vector<Event>> decodeEvents(std::string_view text);

} // namespace cowslipridge::observe
