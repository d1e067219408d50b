#include "cowslipridge/rpc/internal/IncomingRun.hpp"

namespace cowslipridge::rpc {

RemoteSink::RemoteSink(EventLoop::Impl &loop, wire::FrameSink::Client target)
    : Loop(loop), Target(std::move(target)) {
  auto pair = kj::newPromiseAndFulfiller<void>();
  EndFulfiller = kj::mv(pair.fulfiller);
  Ended = pair.promise.fork();
}

void RemoteSink::head(int status, http::Headers fields) {
  if (!Target)
    return;
  auto request = Target->headRequest();
  request.setStatus(static_cast<std::uint16_t>(status));
  encode(fields, request.initHeaders(fields.size()));
  Loop.detach(request.send().ignoreResult());
}

bool RemoteSink::frame(std::string data) {
  if (!Target)
    return false;
  QueuedBytes += data.size();
  QueuedFrames.push_back(std::move(data));
  pump();
  return QueuedBytes <= MaxQueuedBytes;
}

void RemoteSink::end(RunResult result) {
  if (Result)
    return;
  Result = std::move(result);
  finishIfDrained();
}

void RemoteSink::disconnect() {
  Target.reset();
  QueuedFrames.clear();
  QueuedBytes = 0;
}

// Sends one frame at a time: a streaming call resolves when the flow-control
// window has capacity for the next one.
void RemoteSink::pump() {
  if (Sending || QueuedFrames.empty() || !Target)
    return;
  Sending = true;
  const std::string data = std::move(QueuedFrames.front());
  QueuedFrames.pop_front();
  QueuedBytes -= data.size();
  auto request = Target->frameRequest();
  request.setSequence(Frames++);
  request.setData(toData(data));
  Loop.detach(request.send().then(
      [self = shared_from_this()] {
        self->Sending = false;
        self->pump();
        self->finishIfDrained();
      },
      [self = shared_from_this()](kj::Exception &&) {
        self->Sending = false;
        self->disconnect();
        self->finishIfDrained();
      }));
}

void RemoteSink::finishIfDrained() {
  if (!Result || Sending || !QueuedFrames.empty())
    return;
  Result->Frames = Frames;
  EndFulfiller->fulfill();
}

RunHandleServer::RunHandleServer(std::shared_ptr<RemoteSink> sink,
                                 std::shared_ptr<IncomingCall> call)
    : Sink(std::move(sink)), Call(std::move(call)) {}

RunHandleServer::~RunHandleServer() noexcept(false) {
  Sink->disconnect();
  if (!Sink->result() && Call)
    Call->abandon();
}

kj::Promise<void> RunHandleServer::result(ResultContext context) {
  context.allowCancellation();
  return Sink->whenEnded().then([sink = Sink, context]() mutable {
    encode(*sink->result(), context.getResults().initResult());
  });
}

} // namespace cowslipridge::rpc
