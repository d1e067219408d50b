#pragma once

#include "cowslipridge/http/Message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace cowslipridge::http {

/// Answers one request, at once or in parts. All calls may come from any
/// thread; none blocks. Dropping it unanswered answers 500.
class Responder {
public:
  virtual ~Responder() = default;
  /// Sends a whole response.
  virtual void respond(Response response) = 0;
  /// Starts a streamed response; the body follows in write().
  virtual void start(int status, Headers fields) = 0;
  virtual void write(std::string chunk) = 0;
  /// Ends a streamed response as complete.
  virtual void finish() = 0;
  /// Breaks a streamed response off, so that the caller sees that it is not
  /// complete: the connection closes without the final chunk.
  virtual void abort() = 0;
  /// True once the caller is known to have gone away.
  [[nodiscard]] virtual bool isDisconnected() const = 0;
};

/// Called on a pool thread with the whole request; must not block.
using Handler =
    std::function<void(Request request, std::shared_ptr<Responder> responder)>;

struct ServerSettings {
  std::string Address; ///< IP number
  std::uint16_t Port = 0;
  std::size_t MaxBodyBytes = std::size_t{8} * 1024 * 1024;
};

/// Sets the size of the thread pool that all servers and clients of this
/// process share. Must be called before any of them is made.
void initializeThreadPool(std::size_t threads);

/// A listener on one address.
class Server {
public:
  Server(ServerSettings settings, Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Binds and starts to accept.
  std::error_code open();
  /// Answers every later request with `Connection: close`, so that balancers
  /// and clients move on; requests in flight go on.
  void drain();
  /// Requests received and not yet answered to the end.
  [[nodiscard]] std::size_t inFlight() const;
  /// Stops accepting and closes all connections.
  void close();

private:
  class Impl;
  std::unique_ptr<Impl> Internals;
};

} // namespace cowslipridge::http
