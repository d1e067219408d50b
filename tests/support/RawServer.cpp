#include "support/RawServer.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdlib>
#include <utility>

namespace cowslipridge::support {

namespace {

using boost::asio::socket_base;

/// Small, so that most of a long request waits at its client.
constexpr int ReceiveBufferBytes = 16 * 1024;

} // namespace

std::string fieldIn(const std::string &head, const std::string &name) {
  const std::string begin = "\r\n" + name + ": ";
  const std::size_t at = head.find(begin);
  if (at == std::string::npos)
    return {};
  const std::size_t value = at + begin.size();
  return head.substr(value, head.find("\r\n", value) - value);
}

RawServer::RawServer(boost::asio::io_context &loop,
                     const boost::asio::ip::tcp::endpoint &address,
                     RawBehaviour behaviour, Answer answer)
    : Behaviour(behaviour), AnswerTo(std::move(answer)),
      Acceptor(loop, address) {
  Acceptor.set_option(socket_base::receive_buffer_size(ReceiveBufferBytes));
  accept();
}

void RawServer::accept() {
  Acceptor.async_accept(
      [this](const auto &ec, boost::asio::ip::tcp::socket socket) {
        if (ec)
          return;
        readHead(std::make_shared<Peer>(Peer{std::move(socket), {}}));
        accept();
      });
}

void RawServer::readHead(const std::shared_ptr<Peer> &peer) {
  boost::asio::async_read_until(
      peer->Connection, boost::asio::dynamic_buffer(peer->Input), "\r\n\r\n",
      [this, peer](const auto &ec, std::size_t n) {
        if (!ec)
          onHead(peer, n);
      });
}

void RawServer::onHead(const std::shared_ptr<Peer> &peer,
                       std::size_t headBytes) {
  ++Requests;
  const std::string head = peer->Input.substr(0, headBytes);
  if (Behaviour == RawBehaviour::AnswersAndCloses) {
    readBody(peer, head);
    return;
  }
  answer(*peer, head);
  peer->Connection.set_option(socket_base::linger(true, 0));
  peer->Connection.close();
}

void RawServer::readBody(const std::shared_ptr<Peer> &peer,
                         const std::string &head) {
  const std::string length = fieldIn(head, "Content-Length");
  const std::size_t whole =
      head.size() + std::strtoull(length.c_str(), nullptr, 10);
  const std::size_t received = peer->Input.size();
  boost::asio::async_read(
      peer->Connection, boost::asio::dynamic_buffer(peer->Input),
      boost::asio::transfer_exactly(whole > received ? whole - received : 0),
      [this, peer, head](const auto &ec, std::size_t) {
        if (ec)
          return;
        answer(*peer, head);
        peer->Connection.close();
      });
}

void RawServer::answer(Peer &peer, const std::string &head) {
  // The client may have closed the connection meanwhile.
  boost::system::error_code ignored;
  boost::asio::write(peer.Connection, boost::asio::buffer(AnswerTo(head)),
                     ignored);
}

} // namespace cowslipridge::support
