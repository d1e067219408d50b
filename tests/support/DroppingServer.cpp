#include "support/DroppingServer.hpp"

#include "support/Loopback.hpp"

#include <memory>
#include <utility>

namespace cowslipridge::support {

DroppingServer::DroppingServer(std::uint16_t port, After after)
    : Port(port), Dropping(after),
      Listener(std::in_place, loopbackAddress(), port),
      Acceptor([this] { accept(); }) {}

DroppingServer::~DroppingServer() {
  stopListening();
  Acceptor.join();
  for (std::thread &it : Workers)
    it.join();
}

void DroppingServer::accept() {
  while (!Stopping) {
    auto socket = std::make_shared<RawSocket>(Listener->accept());
    if (!socket->open() || Stopping)
      continue;
    Workers.emplace_back([this, socket] {
      serve(*socket);
      socket->close();
    });
  }
  Listener.reset();
  Closed.set_value();
}

void DroppingServer::serve(const RawSocket &socket) {
  for (int n = 0; socket.receiveUntil("\r\n\r\n").ends_with("\r\n\r\n"); ++n) {
    ++Received;
    if (n > 0) {
      ++Dropped;
      if (Dropping == After::Refuse)
        stopListening();
      return;
    }
    socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  }
}

// The connection wakes the acceptor.
void DroppingServer::stopListening() {
  if (!Stopping.exchange(true))
    RawSocket::connect(loopbackAddress(), Port);
  WhenClosed.wait();
}

} // namespace cowslipridge::support
