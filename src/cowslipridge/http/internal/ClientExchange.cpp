#include "cowslipridge/http/internal/ClientExchange.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/http/internal/FieldFilter.hpp"
#include "cowslipridge/http1/ResponseFlaws.hpp"

#include <boost/asio/post.hpp>

#include <limits>
#include <utility>

namespace cowslipridge::http::internal {

namespace {

/// The exchange has a timeout of its own, which each byte renews.
constexpr core::Millis NoCallTimeout{24LL * 3'600 * 1'000};

bool hasBody(const Request &request) {
  return !request.Body.empty() || request.Method == "POST" ||
         request.Method == "PUT" || request.Method == "PATCH";
}

bool isSuccess(int status) { return status >= 200 && status < 300; }

http1::RequestHead makeHead(const Request &request, const BaseUrl &base,
                            bool keepsConnection) {
  http1::RequestHead head;
  head.Method = request.Method;
  head.Target = base.Path + request.Target;
  head.Fields.add("Host", base.authority());
  for (const Header &it : request.Fields)
    if (!isConnectionField(it.Name) && isWritable(it))
      head.Fields.add(it.Name, it.Value);
  if (!request.Body.empty() && !head.Fields.find("Content-Type"))
    head.Fields.add("Content-Type", "application/octet-stream");
  if (!keepsConnection)
    head.Fields.add("Connection", "close");
  head.Body = hasBody(request) ? http1::Framing::Length : http1::Framing::None;
  return head;
}

} // namespace

/// Receives the response of one call. Events after the end of the exchange are
/// ignored.
class ClientExchange::Reception final : public http1::CallEvents {
public:
  explicit Reception(std::shared_ptr<ClientExchange> exchange)
      : Exchange(std::move(exchange)) {}
  void onHead(const http1::ResponseHead &head) override {
    Exchange->onHead(head);
  }
  void onData(std::string_view data) override { Exchange->onData(data); }
  void onEnd() override { Exchange->end({}); }
  void onFailure(http1::CallFailure failure) override {
    Exchange->onFailure(failure);
  }

private:
  std::shared_ptr<ClientExchange> Exchange;
};

ClientExchange::ClientExchange(std::shared_ptr<ServerConnections> server,
                               Request request, bool mayResend,
                               ResponseEvents events)
    : Server(std::move(server)), MayResend(mayResend),
      Head(makeHead(request, Server->base(), mayResend)),
      Body(std::make_shared<const std::string>(std::move(request.Body))),
      Events(std::move(events)), Timer(clientLoop()) {}

void ClientExchange::start() {
  boost::asio::post(clientLoop(), [self = shared_from_this()] {
    self->startTimer();
    self->Server->resolve([self](std::error_code ec, const auto &endpoints) {
      self->onResolved(ec, endpoints);
    });
  });
}

void ClientExchange::cancel() {
  boost::asio::post(clientLoop(), [self = shared_from_this()] {
    self->end(core::Errc::Cancelled);
  });
}

void ClientExchange::onResolved(std::error_code ec,
                                const ServerConnections::Endpoints &endpoints) {
  if (Ended)
    return;
  if (ec) {
    end(ec);
    return;
  }
  Untried.assign(endpoints.rbegin(), endpoints.rend());
  Target = Untried.back();
  Untried.pop_back();
  call();
}

void ClientExchange::call() {
  http1::CallSpec spec;
  spec.Server = Target;
  spec.Bytes = http1::writeRequestHead(Head, Body->size());
  spec.Body = Body;
  spec.HeadRequest = Head.Method == "HEAD";
  spec.Timeout = NoCallTimeout;
  spec.MaxConnections = std::numeric_limits<std::size_t>::max();
  Call = Server->client(MayResend).call(
      std::move(spec), std::make_shared<Reception>(shared_from_this()));
}

void ClientExchange::onHead(const http1::ResponseHead &head) {
  startTimer();
  recordProgress();
  if (isSuccess(head.Status) && !http1::findFlaw(Head, head).empty()) {
    end(core::Errc::RunnerFailed);
    return;
  }
  Headers fields;
  for (const http1::HeaderField it : head.Fields)
    fields.push_back({std::string(it.Name), std::string(it.Value)});
  if (Events.OnHead)
    Events.OnHead(head.Status, fields);
}

void ClientExchange::onData(std::string_view data) {
  startTimer();
  if (Events.OnChunk)
    Events.OnChunk(std::string(data));
}

void ClientExchange::onFailure(http1::CallFailure failure) {
  recordProgress();
  Call = nullptr;
  const bool wasClosedWhileIdle =
      Reused && failure == http1::CallFailure::BrokenBeforeResponse;
  if (wasClosedWhileIdle && MayResend) {
    call();
    return;
  }
  if (!Sent && !Untried.empty()) {
    Target = Untried.back();
    Untried.pop_back();
    call();
    return;
  }
  end(Sent ? core::Errc::RunnerFailed : core::Errc::RunnerUnavailable);
}

void ClientExchange::startTimer() {
  Timer.start(Server->timeout(), [self = shared_from_this()] {
    self->end(core::Errc::DeadlineExceeded);
  });
}

void ClientExchange::end(std::error_code ec) {
  if (std::exchange(Ended, true))
    return;
  Timer.cancel();
  recordProgress();
  if (const auto call = std::exchange(Call, nullptr); call && ec)
    call->cancel();
  const ResponseEvents last = std::exchange(Events, {});
  if (last.OnEnd)
    last.OnEnd(ec, stage());
}

SendStage ClientExchange::stage() const {
  return Sent ? SendStage::MayBeSent : SendStage::NotConnected;
}

void ClientExchange::recordProgress() {
  if (!Call)
    return;
  const http1::CallProgress progress = Call->progress();
  Reused = progress.Reused;
  Sent = Sent || progress.Sent;
}

} // namespace cowslipridge::http::internal
