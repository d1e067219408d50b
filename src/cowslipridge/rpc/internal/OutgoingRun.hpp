#pragma once

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/rpc/Codec.hpp"
#include "cowslipridge/rpc/PeerClient.hpp"
#include "cowslipridge/rpc/internal/EventLoopImpl.hpp"

#include <optional>

namespace cowslipridge::rpc {

/// The caller's side of one run. Checks the order of the frames, and reports
/// the end exactly once.
class OutgoingRun final : public RemoteCall,
                          public std::enable_shared_from_this<OutgoingRun> {
public:
  explicit OutgoingRun(AnswerEvents events) : Events(std::move(events)) {}
  ~OutgoingRun() noexcept override = default;
  KJ_DISALLOW_COPY(OutgoingRun);

  /// Sends the request. The run fails with Errc::DeadlineExceeded if it has not
  /// ended within `timeout`.
  void send(EventLoop::Impl &loop, wire::Peer::Client peer,
            const RunRequest &request, core::Millis timeout);
  void cancel() override;
  /// Ends the run with an error detected on this side. Does nothing if the run
  /// has ended already.
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
