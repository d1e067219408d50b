#include "cowslipridge/http/Client.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/http/internal/ClientExchange.hpp"

#include <future>
#include <utility>

namespace cowslipridge::http {

namespace {

/// Maximum size of a response body that fetch() and fetchAsync() accept.
constexpr std::size_t MaxFetchedBytes = std::size_t{64} * 1024 * 1024;

/// Returns whether a request may be sent on a reused connection, which its
/// server may close at the same time: it is then sent again.
bool isSafeToRepeat(const std::string &method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

/// The handle of an exchange that ended at once.
class EndedExchange final : public Exchange {
public:
  void cancel() override {}
};

/// Collects one response for fetchAsync().
class Collector {
public:
  explicit Collector(std::function<void(core::Result<Response>)> done)
      : Done(std::move(done)) {}

  void head(int status, const Headers &fields) {
    Collected.Status = status;
    Collected.Fields = fields;
  }

  void chunk(const std::string &bytes) {
    if (Collected.Body.size() + bytes.size() > MaxFetchedBytes)
      Overflow = true;
    else
      Collected.Body += bytes;
  }

  void end(std::error_code ec) {
    if (!ec && Overflow)
      ec = core::Errc::TooLarge;
    if (ec)
      Done(ec);
    else
      Done(std::move(Collected));
  }

private:
  std::function<void(core::Result<Response>)> Done;
  Response Collected;
  bool Overflow = false;
};

} // namespace

class Client::Impl {
public:
  Impl(const std::string &base, core::Millis timeout) {
    if (auto url = internal::parseBaseUrl(base))
      Server = internal::ServerConnections::create(*std::move(url), timeout);
  }

  /// Null if the base address is no HTTP URL.
  std::shared_ptr<internal::ServerConnections> Server;
};

Client::Client(const std::string &base, core::Millis timeout)
    : Internals(std::make_unique<Impl>(base, timeout)) {}

Client::~Client() = default;

std::shared_ptr<Exchange> Client::send(Request request, ResponseEvents events,
                                       Resend resend) {
  if (!Internals->Server || !internal::isTarget(request.Target)) {
    events.OnEnd(core::Errc::Malformed, SendStage::NotConnected);
    return std::make_shared<EndedExchange>();
  }
  const bool mayResend =
      resend == Resend::IfSafe && isSafeToRepeat(request.Method);
  auto exchange = std::make_shared<internal::ClientExchange>(
      Internals->Server, std::move(request), mayResend, std::move(events));
  exchange->start();
  return exchange;
}

void Client::fetchAsync(Request request,
                        std::function<void(core::Result<Response>)> done) {
  auto collector = std::make_shared<Collector>(std::move(done));
  ResponseEvents events;
  events.OnHead = [collector](int status, const Headers &fields) {
    collector->head(status, fields);
  };
  events.OnChunk = [collector](const std::string &bytes) {
    collector->chunk(bytes);
  };
  events.OnEnd = [collector](std::error_code ec, SendStage) {
    collector->end(ec);
  };
  send(std::move(request), std::move(events));
}

core::Result<Response> Client::fetch(Request request) {
  auto promise = std::make_shared<std::promise<core::Result<Response>>>();
  fetchAsync(std::move(request), [promise](core::Result<Response> result) {
    promise->set_value(std::move(result));
  });
  return promise->get_future().get();
}

} // namespace cowslipridge::http
