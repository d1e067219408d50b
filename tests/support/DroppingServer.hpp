#pragma once

#include "support/RawSocket.hpp"

#include <atomic>
#include <cstdint>
#include <future>
#include <optional>
#include <thread>
#include <vector>

namespace cowslipridge::support {

/// A server that answers the first request of each connection, and that reads
/// any later one and closes the connection without a response.
class DroppingServer {
public:
  /// What happens to new connections when a request is dropped.
  enum class After {
    Listen, ///< they are accepted
    Refuse, ///< they are refused, as by a process that ended
  };

  DroppingServer(std::uint16_t port, After after);
  ~DroppingServer();
  DroppingServer(const DroppingServer &) = delete;
  DroppingServer &operator=(const DroppingServer &) = delete;

  /// Requests that were read completely, over all connections.
  [[nodiscard]] int received() const { return Received; }
  /// Requests that were read completely and not answered.
  [[nodiscard]] int dropped() const { return Dropped; }

private:
  void accept();
  void serve(const RawSocket &socket);
  void stopListening();

  const std::uint16_t Port;
  const After Dropping;
  std::atomic<int> Received = 0;
  std::atomic<int> Dropped = 0;
  std::atomic<bool> Stopping = false;
  std::optional<RawListener> Listener;
  std::promise<void> Closed; ///< set when the listener no longer exists
  std::shared_future<void> WhenClosed = Closed.get_future().share();
  std::vector<std::thread> Workers; ///< of the acceptor until it ends
  std::thread Acceptor;
};

} // namespace cowslipridge::support
