#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/http1/Connection.hpp"
#include "cowslipridge/http1/Message.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cowslipridge::http1 {

/// Why a call has no complete answer.
enum class CallFailure {
  NotConnected,           ///< nothing was sent
  ConnectionLimitReached, ///< no further connection to this server is allowed
  BrokenBeforeResponse, ///< it broke before the head of an answer; it may have
                        ///< run
  Broken,               ///< it broke within the answer
  Malformed,            ///< the bytes are no answer to this call
  TimedOut,             ///< the call's time is over
};

std::string_view toString(CallFailure failure);

/// What a caller of a server hears. No event follows onEnd or onFailure.
class CallEvents {
public:
  virtual ~CallEvents() = default;
  virtual void onHead(const ResponseHead &head) = 0;
  virtual void onData(std::string_view data) = 0;
  virtual void onEnd() = 0;
  virtual void onFailure(CallFailure failure) = 0;
};

/// One request on its way to a server.
struct CallSpec {
  Endpoint Server;
  std::string Bytes; ///< the request, head and body
  bool HeadRequest = false;
  /// A field that the answer repeats; an answer with another value belongs to
  /// another call and is passed over. Empty: not checked.
  std::string EchoField;
  std::string EchoValue;
  core::Millis Timeout; ///< for the whole call
  /// Connections to this server at most, used and idle.
  std::size_t MaxConnections = 64;
};

/// A call that is under way. Dropping the handle does not end it.
class Call {
public:
  virtual ~Call() = default;
  /// Ends the call without further events; its connection is closed, so that
  /// the server stops working on it.
  virtual void cancel() = 0;
  /// Stops and resumes reading, for a slow receiver.
  virtual void pause() = 0;
  virtual void resume() = 0;
};

struct ClientLimits {
  core::Millis ConnectTimeout{400};
  /// Idle connections are not used again after this time, nor beyond what the
  /// server's Keep-Alive allows.
  core::Millis MaxIdle{8000};
  DeadPeerLimits Silence;
};

/// Calls servers over kept connections.
class Client {
public:
  Client(boost::asio::io_context &loop, const core::Clock &clock,
         ClientLimits limits);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  /// Events come from the loop, never from within this call. The client keeps
  /// `events` until the call is over.
  std::shared_ptr<Call> call(CallSpec spec, std::shared_ptr<CallEvents> events);
  /// Connections opened since the start.
  [[nodiscard]] std::size_t opened() const;

private:
  class Impl;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::http1
