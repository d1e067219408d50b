#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/http1/Connection.hpp"
#include "cowslipridge/http1/Message.hpp"
#include "cowslipridge/http1/RequestParser.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cowslipridge::http1 {

/// One request and the way to answer it. All calls from the loop's thread.
class Exchange {
public:
  virtual ~Exchange() = default;
  [[nodiscard]] virtual const RequestHead &head() const = 0;
  [[nodiscard]] virtual const std::string &body() const = 0;
  /// Monotonic time at which the request was read whole.
  [[nodiscard]] virtual core::Millis readAt() const = 0;
  /// Answers with a whole body.
  virtual void respond(ResponseHead head, std::string_view body) = 0;
  /// Begins an answer; its framing is that of `head`, or chunks for a body
  /// that lasts until the connection closes.
  virtual void begin(ResponseHead head) = 0;
  virtual void send(std::string_view data) = 0;
  /// The answer is complete.
  virtual void end() = 0;
  /// Ends the connection so that the answer can't be taken for complete.
  virtual void abort() = 0;
  /// Bytes that the client has not taken yet.
  [[nodiscard]] virtual std::size_t backlog() const = 0;
  /// Called whenever the backlog has become empty.
  virtual void onDrained(std::function<void()> handler) = 0;
  /// Called once if the client goes away before the answer is complete.
  virtual void onClientDisconnect(std::function<void()> handler) = 0;
};

struct ServerLimits {
  RequestLimits Request;
  core::Millis HeaderTimeout{3000}; ///< for reading one request head
  core::Millis IdleTimeout{15000};  ///< between requests and while reading one
};

/// Accepts connections and hands each whole request to a handler.
class Server {
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  Server(boost::asio::io_context &loop, const core::Clock &clock,
         Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Throws boost::system::system_error when the address can't be bound.
  void listen(const Endpoint &address);
  /// For connections accepted and requests begun from now on.
  void setLimits(const ServerLimits &limits);
  /// Answers say from now on that their connection closes.
  void closeAfterResponses();
  /// Closes connections on which no request is being read or answered.
  void closeIdle();
  /// Stops accepting and closes what is open.
  void stop();
  [[nodiscard]] std::size_t connections() const;
  /// Requests read and not answered whole.
  [[nodiscard]] std::size_t inFlight() const;

private:
  class Impl;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::http1
