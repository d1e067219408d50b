#include "standins/Scheduler.hpp"

#include "cowslipridge/core/Chrono.hpp"

#include <utility>

namespace cowslipridge::standins {

Scheduler::Scheduler() : Worker([this] { run(); }) {}

Scheduler::~Scheduler() {
  {
    const std::lock_guard lock(Guard);
    Stopping = true;
  }
  Changed.notify_all();
  Worker.join();
}

void Scheduler::after(core::Millis delay, std::function<void()> task) {
  const std::lock_guard lock(Guard);
  Waiting.push({now() + delay, ++LastSequence, std::move(task)});
  Changed.notify_all();
}

void Scheduler::run() {
  std::unique_lock lock(Guard);
  while (!Stopping) {
    if (Waiting.empty()) {
      Changed.wait(lock);
      continue;
    }
    const core::Millis pause = Waiting.top().Due - now();
    if (pause > core::Millis(0)) {
      Changed.wait_for(lock, core::toChrono(pause));
      continue;
    }
    auto task = Waiting.top().Task;
    Waiting.pop();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

} // namespace cowslipridge::standins
