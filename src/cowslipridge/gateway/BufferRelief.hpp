#pragma once

#include "cowslipridge/gateway/RequestFlow.hpp"

#include <cstddef>
#include <functional>
#include <utility>

namespace cowslipridge::gateway {

/// Ends connections and attempts of requests while a gateway holds more bytes
/// than its budget allows. Must outlive the run of the loop.
class BufferRelief {
public:
  /// Ends the caller's connection that holds most, of those that hold at least
  /// `minBytes` and serve no request. Returns false if there is none.
  using ConnectionEnder = std::function<bool(std::size_t minBytes)>;

  BufferRelief(FlowContext &flows, ConnectionEnder endConnection)
      : Flows(flows), EndConnection(std::move(endConnection)) {}

  /// Relieves the buffers once the handlers that run now have returned.
  void schedule();
  /// Reports that the buffers are full, at most once in a while.
  void report();

private:
  void relieve();
  /// Returns false if nothing can be ended.
  bool endOne();
  /// Breaks the attempt off that frees most. Returns false if none frees any.
  bool breakAttempt();

  FlowContext &Flows;
  ConnectionEnder EndConnection;
  bool Scheduled = false;
  core::Millis ReportedAt;
};

} // namespace cowslipridge::gateway
