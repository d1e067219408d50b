#pragma once

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/rpc/Codec.hpp"
#include "cowslipridge/rpc/PeerClient.hpp"
#include "cowslipridge/rpc/internal/EventLoopImpl.hpp"

#include <optional>

namespace cowslipridge::rpc {

/// The asker's side of one run: checks the order of frames and ends once.
class OutgoingRun final : public RemoteCall,
                          public std::enable_shared_from_this<OutgoingRun> {
public:
  explicit OutgoingRun(AnswerEvents events) : Events(std::move(events)) {}
  ~OutgoingRun() noexcept override = default;
  KJ_DISALLOW_COPY(OutgoingRun);

  /// Sends the request and ends it after `timeout` at the latest.
  void send(EventLoop::Impl &loop, wire::Peer::Client peer,
            const RunRequest &request, core::Millis timeout);
  void cancel() override;
  /// Ends with an error that this side found; does nothing after the end.
  void fail(core::Errc reason, core::Outcome outcome, std::string detail);

  void onHead(int status, http::Headers fields);
  void onFrame(std::uint64_t sequence, std::string data);

private:
  void onResult(core::Result<RunResult> result);
  void finish(RunResult result);

  AnswerEvents Events;
  EventLoop::Impl *Loop = nullptr; ///< set by send()
  bool Ended = false;
  std::uint64_t Received = 0;
  std::optional<wire::RunHandle::Client> Handle;
  kj::Maybe<kj::Promise<void>> PendingResult;
};

} // namespace cowslipridge::rpc
