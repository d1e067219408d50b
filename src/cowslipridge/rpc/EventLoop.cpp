#include "cowslipridge/rpc/EventLoop.hpp"

#include "cowslipridge/rpc/internal/EventLoopImpl.hpp"

#include <easylogging++.h>

namespace cowslipridge::rpc {

EventLoop::Impl::Impl() {
  std::promise<void> ready;
  Thread = std::thread([this, &ready] { run(ready); });
  ready.get_future().wait();
}

EventLoop::Impl::~Impl() noexcept(false) {
  post([this] {
    const std::lock_guard lock(Guard);
    Stopping = true;
  });
  Thread.join();
}

bool EventLoop::Impl::isCurrent() const {
  return std::this_thread::get_id() == Thread.get_id();
}

void EventLoop::Impl::post(std::function<void()> task) {
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> waker;
  {
    const std::lock_guard lock(Guard);
    Queue.push_back(std::move(task));
    waker = kj::mv(Waker);
  }
  if (waker.get() != nullptr)
    waker->fulfill();
}

void EventLoop::Impl::run(std::promise<void> &ready) {
  auto context = kj::setupAsyncIo();
  Context = &context;
  auto tasks = kj::heap<kj::TaskSet>(*this);
  Tasks = tasks.get();
  ready.set_value();
  while (true) {
    {
      const std::lock_guard lock(Guard);
      if (Stopping && Queue.empty())
        break;
    }
    waitForTasks();
    runTasks();
  }
}

void EventLoop::Impl::waitForTasks() {
  auto wake = kj::newPromiseAndCrossThreadFulfiller<void>();
  {
    const std::lock_guard lock(Guard);
    if (Queue.empty())
      Waker = kj::mv(wake.fulfiller);
    else
      wake.fulfiller->fulfill();
  }
  wake.promise.wait(Context->waitScope);
}

void EventLoop::Impl::runTasks() {
  std::vector<std::function<void()>> tasks;
  {
    const std::lock_guard lock(Guard);
    tasks.swap(Queue);
  }
  for (std::function<void()> &it : tasks) {
    try {
      it();
    } catch (const std::exception &ex) {
      LOG(ERROR) << "event loop task failed: " << ex.what();
    } catch (const kj::Exception &ex) {
      LOG(ERROR) << "event loop task failed: " << ex.getDescription().cStr();
    }
    it = nullptr;
  }
}

void EventLoop::Impl::taskFailed(kj::Exception &&exception) {
  if (exception.getType() == kj::Exception::Type::DISCONNECTED)
    return;
  LOG(WARNING) << "rpc: " << exception.getDescription().cStr();
}

EventLoop::EventLoop() : Internals(std::make_unique<Impl>()) {}

EventLoop::~EventLoop() = default;

void EventLoop::post(std::function<void()> task) {
  Internals->post(std::move(task));
}

void EventLoop::postAfter(core::Millis delay, std::function<void()> task) {
  Impl &impl = *Internals;
  const std::int64_t wait = std::max<std::int64_t>(0, delay.count());
  impl.post([&impl, wait, task = std::move(task)]() mutable {
    // kj runs continuations between posted tasks, never inside one, so `task`
    // needs no post() of its own.
    impl.detach(impl.timer()
                    .afterDelay(wait * kj::MILLISECONDS)
                    .then([task = std::move(task)] { task(); }));
  });
}

void EventLoop::call(const std::function<void()> &task) {
  std::promise<void> done;
  Internals->post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

bool EventLoop::isCurrent() const { return Internals->isCurrent(); }

} // namespace cowslipridge::rpc
