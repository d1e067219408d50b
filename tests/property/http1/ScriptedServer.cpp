#include "property/http1/ScriptedServer.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace cowslipridge::http1 {

ScriptedServer::ScriptedServer()
    : Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
  Acceptor.non_blocking(true);
}

std::string ScriptedServer::response(const std::string &id) {
  return "HTTP/1.1 200 OK\r\nId: " + id +
         "\r\nContent-Length: " + std::to_string(body(id).size()) + "\r\n\r\n" +
         body(id);
}

int ScriptedServer::received(const std::string &id) const {
  const auto it = Received.find(id);
  return it == Received.end() ? 0 : it->second;
}

void ScriptedServer::receive() {
  acceptAll();
  for (Peer &it : Peers) {
    readAll(it);
    takeRequests(it);
  }
}

void ScriptedServer::acceptAll() {
  for (;;) {
    boost::system::error_code ec;
    Socket accepted = Acceptor.accept(ec);
    if (ec)
      return;
    accepted.non_blocking(true);
    Peers.push_back({std::move(accepted), {}, {}});
  }
}

void ScriptedServer::readAll(Peer &peer) {
  std::array<char, 4096> chunk{};
  boost::system::error_code ec;
  while (!ec) {
    const auto n = peer.Connection.read_some(boost::asio::buffer(chunk), ec);
    peer.Input.append(chunk.data(), n);
  }
}

// The id is the last field of a request.
void ScriptedServer::takeRequests(Peer &peer) {
  constexpr std::string_view End = "\r\n\r\n";
  constexpr std::string_view Field = "Id: ";
  for (auto end = peer.Input.find(End); end != std::string::npos;
       end = peer.Input.find(End)) {
    const auto at = peer.Input.find(Field) + Field.size();
    const std::string id = peer.Input.substr(at, end - at);
    peer.Input.erase(0, end + End.size());
    peer.Unanswered.push_back(id);
    ++Received[id];
  }
}

std::vector<ScriptedServer::Peer>::iterator
ScriptedServer::find(std::size_t connection) {
  receive();
  if (Peers.empty())
    return Peers.end();
  return Peers.begin() + static_cast<std::ptrdiff_t>(connection % Peers.size());
}

void ScriptedServer::writeTo(Peer &peer, const std::string &bytes) {
  // The client may have closed the connection.
  boost::system::error_code ignored;
  boost::asio::write(peer.Connection, boost::asio::buffer(bytes), ignored);
}

void ScriptedServer::respond(std::size_t connection, int times) {
  const auto peer = find(connection);
  if (peer == Peers.end() || peer->Unanswered.empty())
    return;
  const std::string id = peer->Unanswered.front();
  peer->Unanswered.pop_front();
  for (int n = 0; n < times; ++n)
    writeTo(*peer, response(id));
}

void ScriptedServer::write(std::size_t connection, const std::string &bytes) {
  if (const auto peer = find(connection); peer != Peers.end())
    writeTo(*peer, bytes);
}

void ScriptedServer::close(std::size_t connection) {
  if (const auto peer = find(connection); peer != Peers.end())
    Peers.erase(peer);
}

void ScriptedServer::reset(std::size_t connection) {
  const auto peer = find(connection);
  if (peer == Peers.end())
    return;
  http1::reset(peer->Connection);
  Peers.erase(peer);
}

} // namespace cowslipridge::http1
