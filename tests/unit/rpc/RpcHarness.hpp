#pragma once

#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/rpc/PeerClient.hpp"
#include "cowslipridge/rpc/Server.hpp"
#include "support/Waiting.hpp"

#include <functional>
#include <mutex>
#include <optional>

namespace cowslipridge::rpc {

/// A handler whose behaviour a test sets.
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

/// What a test heard of one run.
struct HeardAnswer {
  int Status = 0;
  std::string Body;
  std::optional<RunResult> Result;
};

/// One server and one client on loops of their own.
class RpcPair {
public:
  explicit RpcPair(ScriptedHandler::Script script,
                   std::string clientKey = std::string(32, 'k'));
  ~RpcPair();

  bool waitConnected();
  /// Runs and waits for the end; the result is empty after a time-out.
  HeardAnswer run(const RunRequest &request);
  /// Runs without waiting.
  std::shared_ptr<RemoteCall> start(const RunRequest &request);
  HeardAnswer heard();
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
  HeardAnswer Heard;
};

/// A request with all required fields.
RunRequest makeRequest();

} // namespace cowslipridge::rpc
