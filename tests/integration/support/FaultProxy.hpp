#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace cowslipridge::integration {

/// The faults that a proxy injects in one direction.
struct LinkFaults {
  std::chrono::milliseconds Delay{0};
  std::size_t BytesPerSecond = 0; ///< 0: not throttled
  bool Blocked = false; ///< holds bytes back, as in a network partition
  bool Dropped = false; ///< reads bytes and discards them
  /// Resets a connection once this many bytes have been forwarded; 0: never.
  std::size_t ResetAfterBytes = 0;
};

/// Forwards TCP connections to one target and injects faults. Faults can be
/// changed at run time and also apply to open connections.
class FaultProxy {
public:
  FaultProxy(const std::string &address, std::uint16_t port,
             const std::string &targetAddress, std::uint16_t targetPort);
  ~FaultProxy();
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;

  void setFaultsToTarget(const LinkFaults &faults);
  void setFaultsToCaller(const LinkFaults &faults);
  /// Blocks both directions: callers see an unresponsive connection.
  void block();
  /// Removes all faults and accepts connections again.
  void clearFaults();
  /// Resets all open connections.
  void resetConnections();
  /// Closes the listener, so that connections are refused, or opens it again.
  void setRefusing(bool refusing);

  [[nodiscard]] std::size_t connections() const { return OpenCount; }
  [[nodiscard]] std::uint64_t accepted() const { return AcceptedCount; }

private:
  class Connection;
  class Loop;

  void change(const LinkFaults *toTarget, const LinkFaults *toCaller);

  std::unique_ptr<Loop> Worker;
  std::atomic<std::size_t> OpenCount = 0;
  std::atomic<std::uint64_t> AcceptedCount = 0;
};

} // namespace cowslipridge::integration
