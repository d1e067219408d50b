#include "cowslipridge/http/internal/ClientExchange.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/http/internal/FieldFilter.hpp"
#include "cowslipridge/http/internal/PushBuffer.hpp"

#include <cpprest/containerstream.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace cowslipridge::http::internal {

namespace {

using web::http::http_request;
using web::http::http_response;

/// Returns whether cpprestsdk failed before it had a connection. Any other
/// failure counts as possibly sent, so that no request is executed twice.
bool failedBeforeConnecting(const std::exception &failure) {
  static constexpr std::array<std::string_view, 4> Messages = {
      "Failed to connect to any resolved endpoint", "Failed to resolve address",
      "Error resolving address", "Request canceled by user."};
  const std::string_view text = failure.what();
  return std::any_of(Messages.begin(), Messages.end(),
                     [&](std::string_view it) { return text.starts_with(it); });
}

bool timedOut(const std::exception &failure) {
  const auto *http = dynamic_cast<const web::http::http_exception *>(&failure);
  return http != nullptr && http->error_code() == std::errc::timed_out;
}

http_request makeWireRequest(const Request &request) {
  http_request wire(request.Method);
  wire.set_request_uri(web::uri(request.Target));
  if (!request.Body.empty())
    wire.set_body(concurrency::streams::bytestream::open_istream(request.Body),
                  request.Body.size(),
                  findHeader(request.Fields, "Content-Type")
                      .value_or("application/octet-stream"));
  for (const Header &field : request.Fields)
    if (!isConnectionField(field.Name) && isWritable(field))
      wire.headers()[field.Name] = field.Value;
  return wire;
}

} // namespace

ClientExchange::ClientExchange(std::shared_ptr<PooledClient> client,
                               ResponseEvents events)
    : HttpClient(std::move(client)), Events(std::move(events)) {}

void ClientExchange::send(const Request &request) {
  auto self = shared_from_this();
  http_request wire;
  try {
    wire = makeWireRequest(request);
  } catch (const std::exception &) { // the target is not a valid URI
    Events.end(core::Errc::Malformed, SendStage::NotConnected);
    return;
  }
  const concurrency::streams::streambuf<std::uint8_t> sink(
      std::make_shared<PushBuffer>(
          [self](std::string chunk) { self->Events.chunk(std::move(chunk)); }));
  wire.set_response_stream(sink.create_ostream());
  try {
    HttpClient->Wire.request(wire, Cancellation.get_token())
        .then([self](const pplx::task<http_response> &head) {
          self->onHead(head);
        });
  } catch (const std::exception &failure) {
    fail(failure);
  }
}

void ClientExchange::cancel() {
  Cancelled = true;
  Cancellation.cancel();
}

void ClientExchange::onHead(const pplx::task<http_response> &head) {
  auto self = shared_from_this();
  try {
    const http_response response = head.get();
    HttpClient->MayReuse = true;
    Headers fields;
    for (const auto &[name, value] : response.headers())
      fields.push_back({name, value});
    Events.head(response.status_code(), std::move(fields));
    response.content_ready().then(
        [self](const pplx::task<http_response> &body) {
          self->onComplete(body);
        });
  } catch (const std::exception &failure) {
    fail(failure);
  }
}

void ClientExchange::onComplete(const pplx::task<http_response> &body) {
  try {
    body.wait();
    Events.end({}, SendStage::MayBeSent);
  } catch (const std::exception &failure) {
    fail(failure);
  }
}

// When a server closes a reused connection without a response, cpprestsdk sends
// the request again on a new one. A failure to connect proves that nothing was
// sent only if there was no connection to reuse.
SendStage ClientExchange::stageOf(const std::exception &failure) const {
  return failedBeforeConnecting(failure) && !HttpClient->MayReuse
             ? SendStage::NotConnected
             : SendStage::MayBeSent;
}

void ClientExchange::fail(const std::exception &failure) {
  if (failedBeforeConnecting(failure) && !Cancelled)
    HttpClient->Unreachable = true;
  const SendStage stage = stageOf(failure);
  if (Cancelled)
    Events.end(core::Errc::Cancelled, stage);
  else if (timedOut(failure))
    Events.end(core::Errc::DeadlineExceeded, stage);
  else if (stage == SendStage::NotConnected)
    Events.end(core::Errc::RunnerUnavailable, stage);
  else
    Events.end(core::Errc::RunnerFailed, stage);
}

} // namespace cowslipridge::http::internal
