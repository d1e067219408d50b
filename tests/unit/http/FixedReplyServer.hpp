#pragma once

#include "support/Loopback.hpp"
#include "support/RawSocket.hpp"

#include <cstdint>
#include <string>
#include <thread>
#include <utility>

namespace cowslipridge::http {

/// Accepts one connection, sends fixed bytes after a request and closes it.
class FixedReplyServer {
public:
  FixedReplyServer(std::uint16_t port, std::string bytes)
      : Listener(support::loopbackAddress(), port),
        Worker([this, bytes = std::move(bytes)] { run(bytes); }) {}

  ~FixedReplyServer() { Worker.join(); }
  FixedReplyServer(const FixedReplyServer &) = delete;
  FixedReplyServer &operator=(const FixedReplyServer &) = delete;

private:
  void run(const std::string &bytes) const {
    auto socket = Listener.accept();
    if (!socket.open())
      return;
    socket.receiveUntil("\r\n\r\n");
    socket.send(bytes);
  }

  support::RawListener Listener;
  std::thread Worker;
};

} // namespace cowslipridge::http
