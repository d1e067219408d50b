#pragma once

#include "cowslipridge/rpc/EventLoop.hpp"

#include <kj/async-io.h>

#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace cowslipridge::rpc {

/// Holds the loop's kj objects. Only post() and isCurrent() may be called from
/// other threads.
class EventLoop::Impl final : public kj::TaskSet::ErrorHandler {
public:
  Impl();
  ~Impl() noexcept(false);
  KJ_DISALLOW_COPY(Impl);

  void post(std::function<void()> task);
  [[nodiscard]] bool isCurrent() const;

  kj::Network &network() { return Context->provider->getNetwork(); }
  kj::Timer &timer() { return Context->provider->getTimer(); }
  /// Keeps `promise` running until it resolves or the loop stops.
  void detach(kj::Promise<void> promise) { Tasks->add(kj::mv(promise)); }

  /// Logs failures of detached promises, except disconnects. Callers that need
  /// to react to a failure handle it in the promise itself.
  void taskFailed(kj::Exception &&exception) override;

private:
  void run(std::promise<void> &ready);
  void waitForTasks();
  void runTasks();

  std::mutex Guard;
  std::vector<std::function<void()>> Queue;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>>
      Waker; ///< null unless the thread is waiting
  bool Stopping = false;

  // Set by run() on the loop's thread.
  kj::AsyncIoContext *Context = nullptr;
  kj::TaskSet *Tasks = nullptr;
  std::thread Thread;
};

} // namespace cowslipridge::rpc
