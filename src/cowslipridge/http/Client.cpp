#include "cowslipridge/http/Client.hpp"

#include "cowslipridge/core/Chrono.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/http/internal/ClientExchange.hpp"

#include <future>
#include <mutex>
#include <utility>

namespace cowslipridge::http {

namespace {

using internal::PooledClient;
using web::http::client::http_client_config;

/// Maximum size of a response body that fetch() and fetchAsync() accept.
constexpr std::size_t MaxFetchedBytes = std::size_t{64} * 1024 * 1024;

/// Returns whether a request may be sent on a reused connection: cpprestsdk
/// silently resends a request when the server closes a reused connection
/// without responding, which is safe only for these methods.
bool isSafeToRepeat(const std::string &method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

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
  Impl(std::string base, core::Millis timeout) : Base(std::move(base)) {
    Config.set_timeout(core::toChrono(timeout));
    Config.set_max_redirects(0);
  }

  /// Returns null when the base address is not a valid HTTP URL. Requests that
  /// are not safe to repeat get a client of their own.
  std::shared_ptr<PooledClient> clientFor(const std::string &method,
                                          Resend resend) {
    if (resend == Resend::Never || !isSafeToRepeat(method))
      return makeClient();
    const std::lock_guard lock(Guard);
    if (!ReusableClient || ReusableClient->Unreachable)
      ReusableClient = makeClient();
    return ReusableClient;
  }

private:
  [[nodiscard]] std::shared_ptr<PooledClient> makeClient() const {
    try {
      return std::make_shared<PooledClient>(web::uri(Base), Config);
    } catch (const std::exception &) {
      return nullptr;
    }
  }

  std::string Base;
  http_client_config Config;
  std::mutex Guard;
  std::shared_ptr<PooledClient> ReusableClient;
};

Client::Client(std::string base, core::Millis timeout)
    : Internals(std::make_unique<Impl>(std::move(base), timeout)) {}

Client::~Client() = default;

// NOLINTNEXTLINE(performance-unnecessary-value-param): takes ownership
std::shared_ptr<Exchange> Client::send(Request request, ResponseEvents events,
                                       Resend resend) {
  auto client = Internals->clientFor(request.Method, resend);
  if (!client) {
    events.OnEnd(core::Errc::Malformed, SendStage::NotConnected);
    return std::make_shared<internal::ClientExchange>(nullptr,
                                                      ResponseEvents{});
  }
  auto exchange = std::make_shared<internal::ClientExchange>(std::move(client),
                                                             std::move(events));
  exchange->send(request);
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
