#pragma once

#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/rpc/PeerClient.hpp"
#include "cowslipridge/rpc/Server.hpp"
#include "support/Waiting.hpp"

#include <functional>
#include <mutex>
#include <optional>

namespace cowslipridge::rpc {

/// A PeerHandler that runs requests by a script given by the test.
class ScriptedHandler final : public PeerHandler {
public:
  using Script = std::function<void(const RunRequest &request,
                                    const std::shared_ptr<AnswerSink> &sink)>;
  explicit ScriptedHandler(Script script) : Behaviour(std::move(script)) {}

  std::shared_ptr<IncomingCall> run(RunRequest request,
                                    std::shared_ptr<AnswerSink> sink) override;
  PeerStatus exchange(const PeerStatus &status) override;
  BundleContent bundle() override;
  core::Generation offerBundle(const core::InstanceId &sender,
                               BundleContent content) override;
  unsigned deliverBills(const core::InstanceId &sender,
                        const std::vector<std::string> &lines) override;

  unsigned abandoned() const;
  void countAbandoned();

private:
  Script Behaviour;
  mutable std::mutex Guard;
  unsigned Abandoned = 0;
};

/// The parts of one answer received so far.
struct ReceivedAnswer {
  int Status = 0;
  std::string Body;
  std::optional<RunResult> Result;
};

/// A server and a client, each on an event loop of its own.
class RpcPair {
public:
  explicit RpcPair(ScriptedHandler::Script script,
                   std::string clientKey = std::string(32, 'k'));
  ~RpcPair();

  bool waitConnected();
  /// Runs a request and waits until it ends. `Result` is empty after a timeout.
  ReceivedAnswer run(const RunRequest &request);
  /// Starts a request and returns without waiting.
  std::shared_ptr<RemoteCall> start(const RunRequest &request);
  ReceivedAnswer received();
  bool waitEnd();
  /// Closes the server's port and connections.
  void closeServer();
  template <typename Task> void onLoop(Task task) { ClientLoop.call(task); }

  ScriptedHandler &handler() { return *Handler; }
  PeerClient &client() { return *Client; }
  observe::EventLog &serverEvents() { return ServerEvents; }

private:
  core::SystemClock Time;
  observe::EventLog ServerEvents;
  observe::EventLog ClientEvents;
  std::shared_ptr<ScriptedHandler> Handler;
  EventLoop ServerLoop;
  EventLoop ClientLoop;
  std::unique_ptr<Server> Listening;
  std::unique_ptr<PeerClient> Client;
  std::mutex Guard;
  ReceivedAnswer Received;
};

/// A request with all required fields.
RunRequest makeRequest();

} // namespace cowslipridge::rpc
