#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace cowslipridge::integration {

/// What one client of a crowd sends. Afterwards it stays connected.
struct ClientScript {
  std::string Bytes;
  std::size_t PieceBytes = 64UL * 1024; ///< written at once
  core::Millis Pause = {};              ///< between two pieces
};

/// Clients that send requests without regard for the server: they read no
/// responses and keep their connections open until the crowd is destroyed.
class Crowd {
public:
  explicit Crowd(boost::asio::io_context &loop);
  ~Crowd();
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /// Adds a client that connects to `server` at once.
  void add(const boost::asio::ip::tcp::endpoint &server, ClientScript script);
  /// Closes the connections of all clients.
  void close();

private:
  class Client;

  boost::asio::io_context &Loop;
  std::vector<std::shared_ptr<Client>> Clients;
};

} // namespace cowslipridge::integration
