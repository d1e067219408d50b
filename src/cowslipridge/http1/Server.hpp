#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/http1/BufferBudget.hpp"
#include "cowslipridge/http1/Connection.hpp"
#include "cowslipridge/http1/Message.hpp"
#include "cowslipridge/http1/RequestParser.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::http1 {

/// One request and its response. All functions must be called from the thread
/// of the event loop.
class Exchange {
public:
  virtual ~Exchange() = default;
  [[nodiscard]] virtual const RequestHead &head() const = 0;
  [[nodiscard]] virtual const std::string &body() const = 0;
  /// Returns the body, which may be held beyond the end of the exchange.
  [[nodiscard]] virtual std::shared_ptr<const std::string>
  sharedBody() const = 0;
  /// Returns the number of the connection among those of its server.
  [[nodiscard]] virtual std::uint64_t connection() const = 0;
  /// Returns the monotonic time at which the first bytes of the request were
  /// read. Its client has waited since then at least.
  [[nodiscard]] virtual core::Millis begunAt() const = 0;
  /// Sends a response with a complete body.
  virtual void respond(ResponseHead head, std::string_view body) = 0;
  /// Starts a response with the framing of `head`. A body of unknown length
  /// (Chunked or UntilClose) is sent in chunks, or until the connection closes
  /// if the client uses HTTP/1.0.
  virtual void begin(ResponseHead head) = 0;
  /// Sends a part of the body.
  virtual void send(std::string_view data) = 0;
  /// Completes the response.
  virtual void end() = 0;
  /// Resets the connection, so that the client does not mistake the response
  /// for a complete one.
  virtual void abort() = 0;
  /// Returns the number of response bytes not yet written to the socket.
  [[nodiscard]] virtual std::size_t backlog() const = 0;
  /// Sets a handler that is called each time the backlog becomes empty.
  virtual void onDrained(std::function<void()> handler) = 0;
  /// Sets a handler that is called once if the connection closes before the
  /// response is complete, for example because the client disconnected. It is
  /// not called after abort().
  virtual void onClientDisconnect(std::function<void()> handler) = 0;
};

struct ServerLimits {
  RequestLimits Request;
  core::Millis HeaderTimeout{3000}; ///< for receiving one request head
  /// Time between requests; also the time for a body, after HeaderTimeout.
  core::Millis IdleTimeout{15000};
  /// Time after it is accepted for which a connection without a request does
  /// not count as idle: its client has connected in order to send one.
  core::Millis FirstRequestTime{1000};
  /// Time for which the body of a request waits for room in the budget before
  /// the request is rejected.
  core::Millis RoomTime{700};
  /// Connections beyond this number take the places of others that serve no
  /// request, or are closed.
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
  /// Bytes with which each connection counts in the budget, in addition to the
  /// heads, the input and the responses that it holds. 0: only bodies count.
  std::size_t ConnectionBytes = 0;
  /// Bytes that the operating system may hold for a connection in each
  /// direction, applied by listen(). 0: its default.
  std::size_t SocketBufferBytes = 0;
};

/// Accepts connections and passes each complete request to a handler.
class Server {
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;
  /// What a limited budget calls.
  struct BudgetHandlers {
    /// Returns the response to a request that was not read, or not handled, for
    /// lack of room.
    std::function<ResponseHead(const RequestHead &)> NoRoom = nullptr;
    /// More bytes are held than the budget allows. Called from within the
    /// handlers of connections.
    std::function<void()> Exceeded = nullptr;
  };
  /// Returns the response to a request that is refused before its body is read.
  using HeadFilter =
      std::function<std::optional<ResponseHead>(const RequestHead &)>;

  Server(boost::asio::io_context &loop, const core::Clock &clock,
         Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Starts accepting connections at `address`.
  /// Throws boost::system::system_error when the address can't be bound.
  void listen(const Endpoint &address);
  /// Sets the limits of connections accepted and requests started after this
  /// call.
  void setLimits(const ServerLimits &limits);
  /// Sets the owner of the bytes of bodies. A body is read once there is room
  /// for all of it; until then, its client has to wait.
  void setBufferBudget(const BufferBudget &budget, BudgetHandlers handlers);
  /// Sets what decides on a request whose head was received and whose body was
  /// not.
  void setHeadFilter(HeadFilter filter);
  /// Ends the connection that holds most bytes for its age, of those that hold
  /// `minBytes` and serve no request. Returns false if there is none.
  bool endLargest(std::size_t minBytes);
  /// Makes all further responses carry `Connection: close`.
  void closeAfterResponses();
  /// Accepts the connections that wait in the listen queue. stop() would reset
  /// them.
  void acceptWaiting();
  /// Closes connections without a request in progress. A request that was
  /// received but not read yet is in progress.
  void closeIdle();
  /// Stops accepting and closes all connections.
  void stop();
  [[nodiscard]] std::size_t connections() const;
  /// Returns the number of requests received whose response is not completely
  /// written to the socket.
  [[nodiscard]] std::size_t inFlight() const;
  /// Returns the number of connections on which stop() may cut off a request or
  /// a response: those that closeIdle() leaves open.
  [[nodiscard]] std::size_t unfinished() const;

private:
  class Impl;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::http1
