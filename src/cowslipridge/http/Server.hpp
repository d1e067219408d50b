#pragma once

#include "cowslipridge/http/Message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace cowslipridge::http {

/// Sends the response to one request, either complete or streamed. All methods
/// are thread-safe and do not block. Destroying an unanswered responder
/// sends status 500.
class Responder {
public:
  virtual ~Responder() = default;
  /// Sends a complete response.
  virtual void respond(Response response) = 0;
  /// Starts a streamed response; write() adds to its body.
  virtual void start(int status, Headers fields) = 0;
  virtual void write(std::string chunk) = 0;
  /// Completes a streamed response.
  virtual void finish() = 0;
  /// Aborts a streamed response. The connection closes without the final
  /// chunk, so that the client can tell that the response is incomplete.
  virtual void abort() = 0;
  /// Returns whether the client is known to have disconnected.
  [[nodiscard]] virtual bool isDisconnected() const = 0;
};

/// Called on a pool thread with the complete request; must not block.
using Handler =
    std::function<void(Request request, std::shared_ptr<Responder> responder)>;

struct ServerSettings {
  std::string Address; ///< IP address
  std::uint16_t Port = 0;
  std::size_t MaxBodyBytes = std::size_t{8} * 1024 * 1024;
};

/// Sets the size of the thread pool shared by all servers and clients of this
/// process. Must be called before any of them is created.
void initializeThreadPool(std::size_t threads);

/// An HTTP server that listens on one address.
class Server {
public:
  Server(ServerSettings settings, Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Binds the address and starts accepting connections.
  std::error_code open();
  /// Adds `Connection: close` to all further responses, so that load balancers
  /// and clients reconnect elsewhere. Requests in flight continue.
  void drain();
  /// Returns the number of requests whose response is not complete.
  [[nodiscard]] std::size_t inFlight() const;
  /// Stops accepting, aborts open responses and closes all connections.
  void close();

private:
  class Impl;
  std::unique_ptr<Impl> Internals;
};

} // namespace cowslipridge::http
