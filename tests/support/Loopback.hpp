#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <unistd.h>

namespace cowslipridge::support {

/// Returns a loopback address derived from the process id, so that tests that
/// run in parallel do not compete for ports.
inline std::string loopbackAddress() {
  const auto id = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + (id >> 16U) % 64) + "." +
         std::to_string((id >> 8U) % 256) + "." + std::to_string(id % 256);
}

/// Returns a port number that this process has not used before.
inline std::uint16_t nextPort() {
  static std::atomic<std::uint16_t> last = 20'000;
  return ++last;
}

inline std::string baseUrl(std::uint16_t port) {
  return "http://" + loopbackAddress() + ":" + std::to_string(port);
}

} // namespace cowslipridge::support
