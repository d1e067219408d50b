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

/// Far above what any awaited step takes, so that only a fault reaches it.
constexpr std::chrono::seconds AwaitTimeout{20};

/// Polls until `condition` holds; false when it did not within `limit`.
inline bool eventually(const std::function<bool()> &condition,
                       std::chrono::milliseconds limit = AwaitTimeout) {
  constexpr std::chrono::milliseconds Pause{2};
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(Pause);
  }
  return true;
}

/// A value that another thread sets once.
template <typename T> class EventualValue {
public:
  void set(T value) {
    const std::lock_guard lock(Guard);
    if (!Value)
      Value = std::move(value);
    Changed.notify_all();
  }

  /// The value, or nothing when it did not come within `limit`.
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
