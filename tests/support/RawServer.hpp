#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cowslipridge::support {

/// What a RawServer does with each request and its connection.
enum class RawBehaviour {
  /// Reads the request, answers and closes the connection.
  AnswersAndCloses,
  /// Answers and resets the connection before it has read the body.
  AnswersEarlyAndResets,
};

/// A server on an event loop that answers requests with given bytes, which need
/// not be a response.
class RawServer {
public:
  /// Returns the answer to the request with this head.
  using Answer = std::function<std::string(const std::string &head)>;

  RawServer(boost::asio::io_context &loop,
            const boost::asio::ip::tcp::endpoint &address,
            RawBehaviour behaviour, Answer answer);

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const {
    return Acceptor.local_endpoint();
  }
  /// Returns the number of requests received.
  [[nodiscard]] int requests() const { return Requests; }

private:
  struct Peer {
    boost::asio::ip::tcp::socket Connection;
    std::string Input;
  };

  void accept();
  void readHead(const std::shared_ptr<Peer> &peer);
  void onHead(const std::shared_ptr<Peer> &peer, std::size_t headBytes);
  void readBody(const std::shared_ptr<Peer> &peer, const std::string &head);
  void answer(Peer &peer, const std::string &head);

  const RawBehaviour Behaviour;
  const Answer AnswerTo;
  boost::asio::ip::tcp::acceptor Acceptor;
  int Requests = 0;
};

/// Returns the value of a field of a head, or an empty text. `name` is spelled
/// as in the head.
std::string fieldIn(const std::string &head, const std::string &name);

} // namespace cowslipridge::support
