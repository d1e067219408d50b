#pragma once

#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/rpc/EventLoop.hpp"
#include "cowslipridge/rpc/Messages.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace cowslipridge::rpc {

/// Sends one answer to the caller. All methods must be called on the loop's
/// thread.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;
  virtual void head(int status, http::Headers fields) = 0;
  /// Returns false if the caller is too slow or has disconnected, and the
  /// answer should be aborted.
  virtual bool frame(std::string data) = 0;
  /// Must be the last call. Sets the number of frames in `result`.
  virtual void end(RunResult result) = 0;
};

/// A peer's request that a handler is running.
class IncomingCall {
public:
  virtual ~IncomingCall() = default;
  /// Called when the caller has disconnected or cancelled the run.
  virtual void abandon() = 0;
};

/// Implements the operations that peers may call. All methods are called on the
/// loop's thread.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  virtual std::shared_ptr<IncomingCall>
  run(RunRequest request, std::shared_ptr<AnswerSink> sink) = 0;
  virtual PeerStatus exchange(const PeerStatus &status) = 0;
  virtual BundleContent bundle() = 0;
  /// Applies an offered newer bundle. Returns the generation in force
  /// afterwards.
  virtual core::Generation offerBundle(const core::InstanceId &sender,
                                       BundleContent content) = 0;
  /// Accepts encoded bills. Returns the number accepted.
  virtual unsigned deliverBills(const core::InstanceId &sender,
                                const std::vector<std::string> &lines) = 0;
};

struct ServerSettings {
  std::string Address; ///< IPv4 or IPv6 address
  std::uint16_t Port = 0;
  std::string FleetKey;
  core::Millis LoginTimeout{2'000};
  /// Maximum number of connections that have not yet proved the fleet key;
  /// further connections are refused.
  unsigned MaxUnauthenticatedConnections = 64;
};

/// Accepts connections of peers that prove the fleet key, and refuses all
/// others.
class Server {
public:
  Server(EventLoop &loop, ServerSettings settings,
         std::shared_ptr<PeerHandler> handler, observe::EventLog &events);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Binds the port and starts accepting connections. Blocks, so it must not be
  /// called on the loop's thread.
  std::error_code open();
  /// Closes the port and all connections. Blocks, so it must not be called on
  /// the loop's thread.
  void close();

private:
  class Impl;
  EventLoop &Loop;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::rpc
