#include "cowslipridge/runner/internal/GuardedCall.hpp"

#include "cowslipridge/core/Error.hpp"

namespace cowslipridge::runner {

using core::Errc;
using core::Outcome;

void GuardedCall::send(http::Client &client, http::Request message) {
  const std::shared_ptr<GuardedCall> self = shared_from_this();
  http::ResponseEvents events;
  events.OnHead = [self](int status, const http::Headers &fields) {
    const std::lock_guard lock(self->Guard);
    if (!self->Over)
      self->onHead(status, fields);
  };
  events.OnChunk = [self](std::string chunk) {
    const std::lock_guard lock(self->Guard);
    if (!self->Over)
      self->onChunk(std::move(chunk));
  };
  events.OnEnd = [self](std::error_code ec, http::SendStage stage) {
    const std::lock_guard lock(self->Guard);
    if (!self->Over)
      self->onEnd(ec, stage);
    self->Sent.reset();
  };
  std::shared_ptr<http::Exchange> sent =
      client.send(std::move(message), std::move(events));
  const std::lock_guard lock(Guard);
  if (!Over)
    Sent = std::move(sent);
}

void GuardedCall::cancel() {
  std::shared_ptr<http::Exchange> sent;
  {
    const std::lock_guard lock(Guard);
    if (Over)
      return;
    sent = std::move(Sent);
    finish(Errc::Cancelled, Outcome::Unknown, {});
  }
  if (sent)
    sent->cancel();
}

void GuardedCall::onEnd(std::error_code ec, http::SendStage stage) {
  if (!ec)
    onComplete();
  else if (stage == http::SendStage::NotConnected)
    finish(Errc::RunnerUnavailable, Outcome::NotRun, {});
  else
    finish(Errc::RunnerFailed, Outcome::Unknown, {});
}

void GuardedCall::tellHead(int status, const http::Headers &fields) {
  if (!Over)
    Events.OnHead(status, fields);
}

void GuardedCall::tellData(std::string data) {
  if (!Over)
    Events.OnData(std::move(data));
}

void GuardedCall::finish(std::error_code ec, Outcome outcome,
                         const Usage &usage) {
  if (Over)
    return;
  Over = true;
  const CallEvents events = std::move(Events);
  events.OnEnd(ec, outcome, usage);
}

} // namespace cowslipridge::runner
