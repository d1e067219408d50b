#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/http/Message.hpp"

#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace cowslipridge::http {

/// How far a failed exchange had progressed. Tells whether the server may have
/// executed the request.
enum class SendStage {
  NotConnected, ///< no connection was established; nothing was sent
  MayBeSent,    ///< the server may have received bytes of the request
};

/// Whether the client may send a request again by itself.
enum class Resend {
  IfSafe, ///< as far as the method is safe to repeat
  Never,  ///< the server receives the request at most once
};

/// Callbacks for one streamed response. They run in order, one at a time, on
/// the thread of all clients, and must not block.
struct ResponseEvents {
  std::function<void(int status, const Headers &fields)> OnHead;
  std::function<void(std::string chunk)> OnChunk;
  /// The last callback. Without an error, the response is complete.
  std::function<void(std::error_code ec, SendStage stage)> OnEnd;
};

/// Handle for cancelling one exchange. cancel() may be called at any time.
class Exchange {
public:
  virtual ~Exchange() = default;
  virtual void cancel() = 0;
};

/// Sends requests to one base address and reuses connections for methods that
/// are safe to repeat. Responses are parsed by `http1`, so that all processes
/// refuse the same broken ones.
class Client {
public:
  /// `base` is a URL such as `http://127.0.0.1:8500`. `timeout` bounds the
  /// wait for the next bytes of a response.
  Client(const std::string &base, core::Millis timeout);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  /// Sends without blocking and reports progress through `events`.
  std::shared_ptr<Exchange> send(Request request, ResponseEvents events,
                                 Resend resend = Resend::IfSafe);
  /// Sends without blocking and calls `done` with the complete response or the
  /// error.
  void fetchAsync(Request request,
                  std::function<void(core::Result<Response>)> done);
  /// Sends and blocks until the response is complete. Must not be called
  /// from a callback.
  core::Result<Response> fetch(Request request);

private:
  class Impl;
  std::unique_ptr<Impl> Internals;
};

} // namespace cowslipridge::http
