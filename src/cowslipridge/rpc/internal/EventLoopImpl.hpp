#pragma once

#include "cowslipridge/rpc/EventLoop.hpp"

#include <kj/async-io.h>

#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace cowslipridge::rpc {

/// The loop's kj objects. All but post() belong to the loop's thread.
class EventLoop::Impl final : public kj::TaskSet::ErrorHandler {
public:
  Impl();
  ~Impl() noexcept(false);
  KJ_DISALLOW_COPY(Impl);

  void post(std::function<void()> task);
  [[nodiscard]] bool isCurrent() const;

  kj::Network &network() { return Context->provider->getNetwork(); }
  kj::Timer &timer() { return Context->provider->getTimer(); }
  /// Keeps a promise running until it is done or the loop ends.
  void detach(kj::Promise<void> promise) { Tasks->add(kj::mv(promise)); }

  /// Failures of detached promises: each has been handled where it matters.
  void taskFailed(kj::Exception &&exception) override;

private:
  void run(std::promise<void> &ready);
  void waitForTasks();
  void runTasks();

  std::mutex Guard;
  std::vector<std::function<void()>> Queue;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> Waker; ///< null while awake
  bool Stopping = false;

  // Set up on the loop's thread.
  kj::AsyncIoContext *Context = nullptr;
  kj::TaskSet *Tasks = nullptr;
  std::thread Thread;
};

} // namespace cowslipridge::rpc
