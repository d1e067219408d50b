#pragma once

#include "cowslipridge/http1/Server.hpp"

namespace cowslipridge::gateway {

/// Returns the limits of a listener that serves no callers: its requests are
/// short and have no body.
[[nodiscard]] inline http1::ServerLimits auxiliaryLimits() {
  constexpr std::size_t MaxHeaderBytes = 16UL * 1024;
  constexpr std::size_t MaxBodyBytes = 1024;
  constexpr std::size_t MaxConnections = 16;
  http1::ServerLimits limits;
  limits.Request = {MaxHeaderBytes, MaxBodyBytes};
  limits.MaxConnections = MaxConnections;
  return limits;
}

} // namespace cowslipridge::gateway
