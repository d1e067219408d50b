#pragma once

#include "cowslipridge/http/Client.hpp"
#include "cowslipridge/runner/Runner.hpp"

#include <memory>
#include <mutex>

namespace cowslipridge::runner {

/// One exchange with a runner: serialises its events with cancel(), and ends
/// once. The on...() hooks run under the lock.
class GuardedCall : public RunningCall,
                    public std::enable_shared_from_this<GuardedCall> {
public:
  explicit GuardedCall(CallEvents events) : Events(std::move(events)) {}

  void send(http::Client &client, http::Request message);
  void cancel() override;

protected:
  virtual void onHead(int status, const http::Headers &fields) = 0;
  virtual void onChunk(std::string chunk) = 0;
  /// The whole response has come.
  virtual void onComplete() = 0;

  void tellHead(int status, const http::Headers &fields);
  void tellData(std::string data);
  /// Ends the call; later events are dropped.
  void finish(std::error_code ec, core::Outcome outcome, const Usage &usage);

private:
  void onEnd(std::error_code ec, http::SendStage stage);

  std::mutex Guard;
  CallEvents Events;
  std::shared_ptr<http::Exchange> Sent;
  bool Over = false;
};

} // namespace cowslipridge::runner
