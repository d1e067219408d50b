#pragma once

#include "cowslipridge/http/Client.hpp"
#include "cowslipridge/runner/Runner.hpp"

#include <memory>
#include <mutex>

namespace cowslipridge::runner {

/// One exchange with a runner. A lock serialises its callbacks with cancel(),
/// and the end is reported exactly once. The on...() hooks run with the lock
/// held.
class GuardedCall : public RunningCall,
                    public std::enable_shared_from_this<GuardedCall> {
public:
  explicit GuardedCall(CallEvents events) : Events(std::move(events)) {}

  void send(http::Client &client, http::Request message,
            http::Resend resend = http::Resend::Never);
  void cancel() override;

protected:
  virtual void onHead(int status, const http::Headers &fields) = 0;
  virtual void onChunk(std::string chunk) = 0;
  /// Called when the response is complete.
  virtual void onComplete() = 0;

  void forwardHead(int status, const http::Headers &fields);
  void forwardData(std::string data);
  /// Ends the call. Later events are ignored.
  void finish(std::error_code ec, core::Outcome outcome, const Usage &usage);

private:
  void onEnd(std::error_code ec, http::SendStage stage);

  std::mutex Guard;
  CallEvents Events;
  std::shared_ptr<http::Exchange> Exchange;
  bool Ended = false;
};

} // namespace cowslipridge::runner
