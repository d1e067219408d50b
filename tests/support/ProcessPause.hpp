#pragma once

#include <chrono>

namespace cowslipridge::support {

/// Stops all threads of this process for `length` once `delay` has passed, by
/// signals of a child, while the kernel goes on with its connections and
/// timers. The destructor waits until the process runs again.
class ProcessPause {
public:
  ProcessPause(std::chrono::milliseconds delay,
               std::chrono::milliseconds length);
  ~ProcessPause();
  ProcessPause(const ProcessPause &) = delete;
  ProcessPause &operator=(const ProcessPause &) = delete;

private:
  int Child;
};

} // namespace cowslipridge::support
