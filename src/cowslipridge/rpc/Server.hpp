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

/// Takes one answer to its asker. All methods belong to the loop's thread.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;
  virtual void head(int status, http::Headers fields) = 0;
  /// Returns false when the asker does not keep up and the answer should be
  /// broken off.
  virtual bool frame(std::string data) = 0;
  /// Last call; fills in the number of frames.
  virtual void end(RunResult result) = 0;
};

/// A request that a handler is running.
class IncomingCall {
public:
  virtual ~IncomingCall() = default;
  /// The asker is gone, or wants no answer any more.
  virtual void abandon() = 0;
};

/// What this process does for its peers; called on the loop's thread.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  virtual std::shared_ptr<IncomingCall>
  run(RunRequest request, std::shared_ptr<AnswerSink> sink) = 0;
  virtual PeerStatus exchange(const PeerStatus &status) = 0;
  virtual BundleContent bundle() = 0;
  /// Takes a newer bundle; returns the generation in force afterwards.
  virtual core::Generation offerBundle(const core::InstanceId &sender,
                                       BundleContent content) = 0;
  /// Takes bill lines over; returns how many were accepted.
  virtual unsigned deliverBills(const core::InstanceId &sender,
                                const std::vector<std::string> &lines) = 0;
};

struct ServerSettings {
  std::string Address; ///< IP number
  std::uint16_t Port = 0;
  std::string FleetKey;
  core::Millis LoginTimeout{2'000};
  /// Connections that have not proved the fleet key yet.
  unsigned MaxUnauthenticatedConnections = 64;
};

/// Accepts peers that prove the fleet key; refuses all others.
class Server {
public:
  Server(EventLoop &loop, ServerSettings settings,
         std::shared_ptr<PeerHandler> handler, observe::EventLog &events);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Binds and starts to accept. Waits; must not be called on the loop.
  std::error_code open();
  /// Closes the port and all connections. Waits; must not be called on the
  /// loop.
  void close();

private:
  class Impl;
  EventLoop &Loop;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::rpc
