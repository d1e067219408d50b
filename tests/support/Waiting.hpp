#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace cowslipridge::support {

/// Default limit of the waits below. It is far above the duration of any
/// awaited step, so that only a fault reaches it.
constexpr std::chrono::seconds AwaitTimeout{20};

/// Polls until `condition` holds; returns false if it does not within `limit`.
inline bool eventually(const std::function<bool()> &condition,
                       std::chrono::milliseconds limit = AwaitTimeout) {
  constexpr std::chrono::milliseconds PollInterval{2};
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

/// A value that another thread sets once, and that readers can wait for.
template <typename T> class EventualValue {
public:
  /// Sets the value and wakes the waiting readers; only the first call counts.
  void set(T value) {
    const std::lock_guard lock(Guard);
    if (!Value)
      Value = std::move(value);
    Changed.notify_all();
  }

  /// Waits for the value; returns nullopt if it is not set within `limit`.
  std::optional<T> get(std::chrono::milliseconds limit = AwaitTimeout) {
    std::unique_lock lock(Guard);
    Changed.wait_for(lock, limit, [this] { return Value.has_value(); });
    return Value;
  }

private:
  std::mutex Guard;
  std::condition_variable Changed;
  std::optional<T> Value;
};

} // namespace cowslipridge::support
