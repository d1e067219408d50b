#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <functional>
#include <memory>

/// Messages between the project's processes, over Cap'n Proto RPC. Only the
/// sources of this folder use kj and Cap'n Proto.
namespace cowslipridge::rpc {

/// A thread that runs the Cap'n Proto event loop and posted tasks, one at a
/// time. State that is accessed only by tasks needs no lock.
class EventLoop {
public:
  class Impl;

  /// Starts the thread.
  EventLoop();
  /// Runs all tasks posted so far, then stops and joins the thread.
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Queues `task` to run on the thread, after all tasks posted before it.
  /// Never blocks.
  void post(std::function<void()> task);
  /// Runs `task` on the thread after `delay`.
  void postAfter(core::Millis delay, std::function<void()> task);
  /// Runs `task` on the thread and waits until it has finished. Calling this
  /// from a task would deadlock.
  void call(const std::function<void()> &task);
  /// Returns true on the loop's own thread.
  [[nodiscard]] bool isCurrent() const;

  /// For use by the sources of this folder only.
  [[nodiscard]] Impl &internals() { return *Internals; }

private:
  std::unique_ptr<Impl> Internals;
};

} // namespace cowslipridge::rpc
