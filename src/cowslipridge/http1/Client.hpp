#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/http1/Connection.hpp"
#include "cowslipridge/http1/Message.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::http1 {

/// Why a call failed to receive a complete response.
enum class CallFailure {
  /// The connection attempt failed; nothing was sent.
  NotConnected,
  /// CallSpec::MaxConnections are open already; nothing was sent.
  ConnectionLimitReached,
  /// The connection was made when CallSpec::Timeout had expired or Recompose
  /// had nothing to send; nothing was sent.
  TooLateToSend,
  /// The connection failed before the response head; the server may have
  /// processed the request.
  BrokenBeforeResponse,
  /// The connection or the framing failed within the response.
  Broken,
  /// The received bytes are no valid response.
  Malformed,
  /// CallSpec::Timeout expired.
  TimedOut,
};

std::string_view toString(CallFailure failure);
/// Returns whether no byte of the request was sent.
bool isUnsent(CallFailure failure);

/// Receives the events of one call. No event follows onEnd or onFailure.
class CallEvents {
public:
  virtual ~CallEvents() = default;
  virtual void onHead(const ResponseHead &head) = 0;
  virtual void onData(std::string_view data) = 0;
  virtual void onEnd() = 0;
  virtual void onFailure(CallFailure failure) = 0;
};

/// A request to send and the limits of its call.
struct CallSpec {
  Endpoint Server;
  std::string Bytes; ///< the request, or its head if `Body` is set
  /// The body of the request, shared by all its calls.
  std::shared_ptr<const std::string> Body = nullptr;
  /// Called when a new connection is established, with the time since the start
  /// of the call: returns the request that replaces `Bytes`, or nothing if it
  /// is too late to send it. Not set: `Bytes` is sent.
  std::function<std::optional<std::string>(core::Millis)> Recompose = nullptr;
  bool HeadRequest = false;
  /// Name of a header field that the server copies into its response. A
  /// response with another value than EchoValue does not belong to this call
  /// and is skipped; one with two such fields is malformed. No connection
  /// carries the same EchoValue twice. Empty: not checked.
  std::string EchoField;
  std::string EchoValue; ///< empty: the response must not have the field
  core::Millis Timeout;  ///< for the entire call, connecting included
  /// Maximum number of connections to this server, in use and idle.
  std::size_t MaxConnections = 64;
};

/// How far a call has come. Tells apart, in a log, the calls that end with the
/// same CallFailure.
struct CallProgress {
  std::uint64_t Connection = 0; ///< its number at this client; 0 for none
  bool Reused = false;          ///< the connection has served a call before
  bool Connected = false;       ///< the connection was established
  bool Sent = false;            ///< bytes of the request may have left
  core::Millis Age;             ///< since the start of the call
  /// What is wrong with bytes that are no response; empty for other ends.
  std::string Defect;

  friend bool operator==(const CallProgress &, const CallProgress &) = default;
};

/// The handle of a call in progress. Destroying it does not cancel the call.
class Call {
public:
  virtual ~Call() = default;
  /// Cancels the call without further events and closes its connection, so that
  /// the server stops processing the request.
  virtual void cancel() = 0;
  /// Stop and resume reading, as back-pressure of a slow receiver.
  virtual void pause() = 0;
  virtual void resume() = 0;
  /// Valid until the connection takes the next call.
  [[nodiscard]] virtual CallProgress progress() const = 0;
};

struct ClientLimits {
  core::Millis ConnectTimeout{400};
  /// Maximum idle time after which a connection is still reused. A shorter
  /// timeout in the server's Keep-Alive field takes precedence.
  core::Millis MaxIdleTime{8000};
  DeadPeerLimits DeadPeer;
  /// Maximum number of connections to all servers, in use and idle. An idle one
  /// yields to a new one.
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
};

/// Calls servers over a pool of persistent connections.
class Client {
public:
  Client(boost::asio::io_context &loop, const core::Clock &clock,
         ClientLimits limits);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  /// Starts a call. Events are delivered from the event loop, never from within
  /// this function. The client holds `events` until the call ends.
  std::shared_ptr<Call> call(CallSpec spec, std::shared_ptr<CallEvents> events);
  /// Returns the number of connections opened since construction.
  [[nodiscard]] std::size_t connectionsOpened() const;

private:
  class Impl;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::http1
