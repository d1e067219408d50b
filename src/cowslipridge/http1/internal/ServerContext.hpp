#pragma once

#include "cowslipridge/http1/Server.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace cowslipridge::http1::internal {

/// State shared by the connections of one server.
struct ServerContext {
  const core::Clock &Clock;
  Server::Handler Handler;
  ServerLimits Limits = {};
  bool CloseAfterResponses = false;
  std::size_t InFlight = 0;
  std::uint64_t ConnectionsAccepted = 0;
  BufferBudget Buffers = BufferBudget();
  /// Set together with a limited budget.
  Server::BudgetHandlers OnBudget = {};
  Server::HeadFilter Filter = nullptr;
  /// Closes stalled connections, as a body waits for room.
  std::function<void()> CloseStalled = [] {};
};

} // namespace cowslipridge::http1::internal
