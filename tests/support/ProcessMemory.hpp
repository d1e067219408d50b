#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <sys/types.h>
#include <system_error>

namespace cowslipridge::support {

/// Returns the largest resident memory of a process so far, in KiB; 0 if it
/// doesn't run.
inline long peakMemoryKib(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  long kib = 0;
  while (status >> word) {
    if (word == "VmHWM:")
      status >> kib;
  }
  return kib;
}

/// Returns the number of descriptors that a process has open; 0 if it doesn't
/// run.
inline std::ptrdiff_t openDescriptors(pid_t pid) {
  std::error_code ec;
  const std::filesystem::directory_iterator open(
      "/proc/" + std::to_string(pid) + "/fd", ec);
  return ec ? 0 : std::distance(begin(open), end(open));
}

} // namespace cowslipridge::support
