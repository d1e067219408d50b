#pragma once

#include "cowslipridge/http1/Connection.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cowslipridge::http1 {

/// A server that acts only when it is told to, without an event loop, so that
/// it can act while the loop of its client handles nothing.
class ScriptedServer {
public:
  ScriptedServer();

  [[nodiscard]] Endpoint address() const { return Acceptor.local_endpoint(); }
  /// Accepts all connections and reads all bytes that have arrived.
  void receive();
  /// Responds to the oldest request of a connection, if there is one. The
  /// connections are numbered modulo their number.
  void respond(std::size_t connection, int times);
  /// Writes bytes that no request asked for.
  void write(std::size_t connection, const std::string &bytes);
  void close(std::size_t connection);
  void reset(std::size_t connection);
  /// Returns how often the request was received.
  [[nodiscard]] int received(const std::string &id) const;

  static std::string response(const std::string &id);
  static std::string body(const std::string &id) { return "for " + id; }

private:
  struct Peer {
    Socket Connection;
    std::string Input;
    std::deque<std::string> Unanswered; ///< the ids of the requests
  };

  void acceptAll();
  static void readAll(Peer &peer);
  void takeRequests(Peer &peer);
  [[nodiscard]] std::vector<Peer>::iterator find(std::size_t connection);
  static void writeTo(Peer &peer, const std::string &bytes);

  boost::asio::io_context Context; ///< never run
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<Peer> Peers;
  std::map<std::string, int> Received;
};

} // namespace cowslipridge::http1
