#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/http/Message.hpp"

#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace cowslipridge::http {

/// How far a failed exchange went; decides whether the request may have run.
enum class SendStage {
  NotConnected, ///< the connection was never made: nothing was sent
  MayBeSent,    ///< bytes of the request may have arrived
};

/// Receives one streamed response. Calls come in order, never two at a time,
/// on a pool thread, and must not block.
struct ResponseEvents {
  std::function<void(int status, const Headers &fields)> OnHead;
  std::function<void(std::string chunk)> OnChunk;
  /// Last call. No error: the response is complete.
  std::function<void(std::error_code ec, SendStage stage)> OnEnd;
};

/// Breaks off one exchange; safe to call at any time.
class Exchange {
public:
  virtual ~Exchange() = default;
  virtual void cancel() = 0;
};

/// Sends requests to one base address and keeps connections alive.
class Client {
public:
  /// `base` is such as `http://127.0.0.1:8500`. `timeout` bounds the wait for
  /// the next bytes of a response.
  Client(std::string base, core::Millis timeout);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  /// Sends without blocking; `events` hear how it goes.
  std::shared_ptr<Exchange> send(Request request, ResponseEvents events);
  /// Sends without blocking; `done` hears the whole response or the error.
  void fetchAsync(Request request,
                  std::function<void(core::Result<Response>)> done);
  /// Sends and waits; never call it on a pool thread.
  core::Result<Response> fetch(Request request);

private:
  class Impl;
  std::unique_ptr<Impl> Internals;
};

} // namespace cowslipridge::http
