#include "cowslipridge/runner/internal/GuardedCall.hpp"

#include "cowslipridge/core/Error.hpp"

namespace cowslipridge::runner {

using core::Errc;
using core::Outcome;

void GuardedCall::send(http::Client &client, http::Request message,
                       http::Resend resend) {
  const std::shared_ptr<GuardedCall> self = shared_from_this();
  http::ResponseEvents events;
  events.OnHead = [self](int status, const http::Headers &fields) {
    const std::lock_guard lock(self->Guard);
    if (!self->Ended)
      self->onHead(status, fields);
  };
  events.OnChunk = [self](std::string chunk) {
    const std::lock_guard lock(self->Guard);
    if (!self->Ended)
      self->onChunk(std::move(chunk));
  };
  events.OnEnd = [self](std::error_code ec, http::SendStage stage) {
    const std::lock_guard lock(self->Guard);
    if (!self->Ended)
      self->onEnd(ec, stage);
    self->Exchange.reset();
  };
  std::shared_ptr<http::Exchange> exchange =
      client.send(std::move(message), std::move(events), resend);
  const std::lock_guard lock(Guard);
  if (!Ended)
    Exchange = std::move(exchange);
}

void GuardedCall::cancel() {
  std::shared_ptr<http::Exchange> exchange;
  {
    const std::lock_guard lock(Guard);
    if (Ended)
      return;
    exchange = std::move(Exchange);
    finish(Errc::Cancelled, Outcome::Unknown, {});
  }
  if (exchange)
    exchange->cancel();
}

void GuardedCall::onEnd(std::error_code ec, http::SendStage stage) {
  if (!ec)
    onComplete();
  else if (stage == http::SendStage::NotConnected)
    finish(Errc::RunnerUnavailable, Outcome::NotRun, {});
  else
    finish(Errc::RunnerFailed, Outcome::Unknown, {});
}

void GuardedCall::forwardHead(int status, const http::Headers &fields) {
  if (!Ended)
    Events.OnHead(status, fields);
}

void GuardedCall::forwardData(std::string data) {
  if (!Ended)
    Events.OnData(std::move(data));
}

void GuardedCall::finish(std::error_code ec, Outcome outcome,
                         const Usage &usage) {
  if (Ended)
    return;
  Ended = true;
  const CallEvents events = std::move(Events);
  events.OnEnd(ec, outcome, usage);
}

} // namespace cowslipridge::runner
