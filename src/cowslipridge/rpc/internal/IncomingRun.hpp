#pragma once

#include "cowslipridge/rpc/Codec.hpp"
#include "cowslipridge/rpc/Server.hpp"
#include "cowslipridge/rpc/internal/EventLoopImpl.hpp"

#include <deque>
#include <optional>

namespace cowslipridge::rpc {

/// Bytes of one answer that may be queued for a slow caller, 8 MiB.
constexpr std::size_t MaxQueuedBytes = 8'388'608;

/// Sends one answer through a FrameSink capability, in order and subject to its
/// flow control.
class RemoteSink final : public AnswerSink,
                         public std::enable_shared_from_this<RemoteSink> {
public:
  RemoteSink(EventLoop::Impl &loop, wire::FrameSink::Client target);
  ~RemoteSink() noexcept override = default;
  KJ_DISALLOW_COPY(RemoteSink);

  void head(int status, http::Headers fields) override;
  bool frame(std::string data) override;
  void end(RunResult result) override;

  /// Resolves when the answer has ended and no frame is left to send.
  kj::Promise<void> whenEnded() { return Ended.addBranch(); }
  /// Set once whenEnded() has resolved.
  [[nodiscard]] const std::optional<RunResult> &result() const {
    return Result;
  }
  /// Releases the capability and discards queued frames. Later calls of head()
  /// and frame() send nothing.
  void disconnect();

private:
  void pump();
  void finishIfDrained();

  EventLoop::Impl &Loop;
  std::optional<wire::FrameSink::Client> Target;
  std::deque<std::string> QueuedFrames;
  std::size_t QueuedBytes = 0;
  bool Sending = false;
  std::uint64_t Frames = 0;
  std::optional<RunResult> Result;
  kj::Own<kj::PromiseFulfiller<void>> EndFulfiller;
  kj::ForkedPromise<void> Ended = nullptr;
};

/// Serves the RunHandle capability of one run. The run is abandoned if the
/// caller releases the handle before the result is available.
class RunHandleServer final : public wire::RunHandle::Server {
public:
  RunHandleServer(std::shared_ptr<RemoteSink> sink,
                  std::shared_ptr<IncomingCall> call);
  ~RunHandleServer() noexcept(false);
  KJ_DISALLOW_COPY(RunHandleServer);

  kj::Promise<void> result(ResultContext context) override;

private:
  std::shared_ptr<RemoteSink> Sink;
  std::shared_ptr<IncomingCall> Call;
};

} // namespace cowslipridge::rpc
