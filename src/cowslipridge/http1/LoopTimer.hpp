#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace cowslipridge::http1 {

/// A timer of an event loop with at most one wait. The handler of a wait that
/// was cancelled, replaced or destroyed never runs.
///
/// A steady_timer alone does not ensure this: once a wait has expired and its
/// handler is queued, neither cancel() nor a new expiry time takes it back. It
/// then runs after events of the same turn that have changed what it is about.
class LoopTimer {
public:
  using Handler = std::function<void()>;

  explicit LoopTimer(const boost::asio::any_io_executor &executor)
      : Timer(executor) {}
  explicit LoopTimer(boost::asio::io_context &loop)
      : LoopTimer(loop.get_executor()) {}
  ~LoopTimer() { cancel(); }
  LoopTimer(const LoopTimer &) = delete;
  LoopTimer &operator=(const LoopTimer &) = delete;

  /// Calls `onExpired` from the loop after `wait`, unless the wait is cancelled
  /// or replaced before. A wait that is not positive expires in the next turn.
  void start(core::Millis wait, Handler onExpired);
  void cancel();

private:
  boost::asio::steady_timer Timer;
  /// The number of the current wait. Shared with the handlers, which may
  /// outlive the timer.
  std::shared_ptr<std::uint64_t> Current = std::make_shared<std::uint64_t>();
};

} // namespace cowslipridge::http1
