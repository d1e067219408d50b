#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

namespace cowslipridge::standins {

/// Runs delayed tasks on one thread, in order of their due time.
class Scheduler {
public:
  Scheduler();
  /// Discards the tasks that have not run yet.
  ~Scheduler();
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  void after(core::Millis delay, std::function<void()> task);
  [[nodiscard]] core::Millis now() const { return Time.monotonic(); }

private:
  struct Entry {
    core::Millis Due;
    std::uint64_t Sequence; ///< orders tasks with the same due time
    std::function<void()> Task;

    friend bool operator>(const Entry &a, const Entry &b) {
      return a.Due != b.Due ? a.Due > b.Due : a.Sequence > b.Sequence;
    }
  };

  void run();

  core::SystemClock Time;
  std::mutex Guard;
  std::condition_variable Changed;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> Waiting;
  std::uint64_t LastSequence = 0;
  bool Stopping = false;
  std::thread Worker;
};

} // namespace cowslipridge::standins
