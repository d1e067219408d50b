#include "cowslipridge/rpc/internal/OutgoingRun.hpp"

namespace cowslipridge::rpc {

using core::Errc;
using core::Outcome;

namespace {

/// Serves the FrameSink capability through which a peer streams one answer.
class SinkServer final : public wire::FrameSink::Server {
public:
  explicit SinkServer(std::weak_ptr<OutgoingRun> run) : Run(std::move(run)) {}

  kj::Promise<void> head(HeadContext context) override {
    auto params = context.getParams();
    core::Result<http::Headers> fields = decode(params.getHeaders());
    const auto run = Run.lock();
    if (run && !fields)
      run->fail(Errc::RunnerFailed, Outcome::Unknown,
                "malformed response head");
    else if (run)
      run->onHead(params.getStatus(), std::move(fields).value());
    return kj::READY_NOW;
  }

  kj::Promise<void> frame(FrameContext context) override {
    auto params = context.getParams();
    if (const auto run = Run.lock())
      run->onFrame(params.getSequence(), toString(params.getData()));
    return kj::READY_NOW;
  }

private:
  std::weak_ptr<OutgoingRun> Run;
};

} // namespace

void OutgoingRun::send(EventLoop::Impl &loop, wire::Peer::Client peer,
                       const RunRequest &request, core::Millis timeout) {
  Loop = &loop;
  auto call = peer.runRequest();
  encode(request, call.initRequest());
  call.setSink(kj::heap<SinkServer>(weak_from_this()));
  Handle = call.send().getHandle();
  const std::weak_ptr<OutgoingRun> weak = weak_from_this();
  auto answered = Handle->resultRequest().send().then(
      [weak](capnp::Response<wire::RunHandle::ResultResults> response) {
        if (const auto run = weak.lock())
          run->onResult(decode(response.getResult()));
      },
      [weak](kj::Exception &&exception) {
        if (const auto run = weak.lock())
          run->fail(Errc::OutcomeUnknown, Outcome::Unknown,
                    exception.getDescription().cStr());
      });
  auto expired =
      loop.timer().afterDelay(timeout.count() * kj::MILLISECONDS).then([weak] {
        if (const auto run = weak.lock())
          run->fail(Errc::DeadlineExceeded, Outcome::Unknown,
                    "peer did not answer before the deadline");
      });
  PendingResult =
      answered.exclusiveJoin(kj::mv(expired)).eagerlyEvaluate(nullptr);
}

void OutgoingRun::cancel() {
  if (Ended)
    return;
  Ended = true;
  Handle.reset();
  PendingResult = nullptr;
}

void OutgoingRun::fail(Errc reason, Outcome outcome, std::string detail) {
  RunResult result;
  result.Result = outcome;
  result.Error = reason;
  result.Detail = std::move(detail);
  finish(std::move(result));
}

void OutgoingRun::onHead(int status, http::Headers fields) {
  if (!Ended)
    Events.OnHead(status, std::move(fields));
}

void OutgoingRun::onFrame(std::uint64_t sequence, std::string data) {
  if (Ended)
    return;
  if (sequence != Received) {
    fail(Errc::RunnerFailed, Outcome::Unknown, "answer frame out of sequence");
    return;
  }
  ++Received;
  Events.OnFrame(std::move(data));
}

void OutgoingRun::onResult(core::Result<RunResult> result) {
  if (!result) {
    fail(Errc::OutcomeUnknown, Outcome::Unknown, "malformed run result");
    return;
  }
  if (!result->Error && result->Frames != Received) {
    fail(Errc::RunnerFailed, result->Result,
         "answer ended before all frames arrived");
    return;
  }
  finish(std::move(result).value());
}

// finish() may run inside a callback of `PendingResult`, and a kj promise must
// not be destroyed by its own callback. The posted no-op task keeps this run
// alive until the callback has returned to the loop.
void OutgoingRun::finish(RunResult result) {
  if (Ended)
    return;
  Ended = true;
  Handle.reset();
  if (Loop != nullptr)
    Loop->post([keep = shared_from_this()] {});
  Events.OnEnd(std::move(result));
}

} // namespace cowslipridge::rpc
