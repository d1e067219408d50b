#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/observe/EventLog.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::observe {

/// Encodes an event as a single-line JSON object, the format of the log.
std::string encodeEvent(const Event &event);
/// Decodes the result of encodeEvent; returns Errc::Malformed for other text.
core::Result<Event> decodeEvent(std::string_view line);
/// Encodes events as `{"events": [...]}`, the response body of /admin/timeline.
std::string encodeEvents(const std::vector<Event> &events);
/// Decodes the result of encodeEvents; returns Errc::Malformed for other text.
core::Result<std::vector<Event>> decodeEvents(std::string_view text);

} // namespace cowslipridge::observe
