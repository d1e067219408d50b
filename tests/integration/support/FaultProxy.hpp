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

/// What a proxy does to the bytes of one direction.
struct LinkFaults {
  std::chrono::milliseconds Delay{0};
  std::size_t BytesPerSecond = 0; ///< 0: as fast as it goes
  bool Blocked = false; ///< holds bytes back, as a network partition does
  bool Dropped = false; ///< takes bytes and forgets them
  /// Resets a connection after so many more bytes; 0: never.
  std::size_t ResetAfterBytes = 0;
};

/// Forwards TCP connections to one target, with faults that are switched at
/// run time and that hold for open connections too.
class FaultProxy {
public:
  FaultProxy(const std::string &address, std::uint16_t port,
             const std::string &targetAddress, std::uint16_t targetPort);
  ~FaultProxy();
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;

  void setToTarget(const LinkFaults &faults);
  void setToCaller(const LinkFaults &faults);
  /// Blocks both directions: callers see a connection that goes silent.
  void block();
  /// Ends all faults.
  void heal();
  /// Resets all open connections.
  void cut();
  /// Closes the listener, so that callers are refused, or opens it again.
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
