#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/http1/HeaderFields.hpp"

#include <optional>

namespace cowslipridge::http1::internal {

/// Returns the `timeout` parameter of the Keep-Alive field, if there is one.
std::optional<core::Millis> keepAliveTimeout(const HeaderFields &fields);

} // namespace cowslipridge::http1::internal
