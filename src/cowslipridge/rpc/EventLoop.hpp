#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <functional>
#include <memory>

/// Messages between the processes of the project, over Cap'n Proto RPC. kj and
/// Cap'n Proto appear only in this folder's sources.
namespace cowslipridge::rpc {

/// One thread that runs the Cap'n Proto event loop and posted tasks, one at a
/// time. State that only tasks touch needs no lock.
class EventLoop {
public:
  class Impl;

  /// Starts the thread.
  EventLoop();
  /// Runs the tasks posted so far, then ends the thread.
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs `task` on the thread, after all tasks posted before. Never blocks.
  void post(std::function<void()> task);
  /// Runs `task` on the thread after `delay`.
  void postAfter(core::Millis delay, std::function<void()> task);
  /// Runs `task` on the thread and waits for its end. Must not be called from
  /// a task.
  void call(const std::function<void()> &task);
  /// True on the loop's own thread.
  [[nodiscard]] bool isCurrent() const;

  /// For this folder's sources.
  [[nodiscard]] Impl &internals() { return *Internals; }

private:
  std::unique_ptr<Impl> Internals;
};

} // namespace cowslipridge::rpc
