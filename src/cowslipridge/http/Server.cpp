#include "cowslipridge/http/Server.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/http/internal/Reply.hpp"
#include "cowslipridge/http/internal/RequestReader.hpp"

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <chrono>
#include <thread>
#include <utility>

namespace cowslipridge::http {

namespace {

using web::http::experimental::listener::http_listener;

/// Maximum time that close() waits for clients to receive their last bytes.
constexpr std::chrono::milliseconds CloseTimeout{5'000};
/// Delay between the last response and closing the listener; see close().
constexpr std::chrono::milliseconds CloseDelay{10};

web::uri listenUri(const ServerSettings &settings) {
  return web::uri_builder()
      .set_scheme("http")
      .set_host(settings.Address)
      .set_port(settings.Port)
      .to_uri();
}

Response makeErrorResponse(std::error_code ec) {
  if (ec == core::Errc::TooLarge)
    return makeProblem({"too-large", "Request is over its limit", 413,
                        "The body or the header fields are too large."});
  return makeProblem({"malformed", "Request cannot be parsed", 400,
                      "The message's framing is not valid."});
}

} // namespace

void initializeThreadPool(std::size_t threads) {
  crossplat::threadpool::initialize_with_threads(threads);
}

class Server::Impl {
public:
  Impl(ServerSettings settings, Handler handler)
      : Settings(std::move(settings)),
        OnRequest(std::make_shared<const Handler>(std::move(handler))),
        Replies(std::make_shared<internal::OpenReplies>()) {}

  std::error_code open() {
    try {
      auto listener = std::make_unique<http_listener>(listenUri(Settings));
      const auto handler = makeListenerHandler();
      listener->support(handler);
      // Without explicit handlers, cpprestsdk answers these two methods itself.
      listener->support(web::http::methods::OPTIONS, handler);
      listener->support(web::http::methods::TRCE, handler);
      listener->open().wait();
      Listener = std::move(listener);
      return {};
    } catch (const std::exception &) { // cpprestsdk does not expose the cause
      return std::make_error_code(std::errc::address_in_use);
    }
  }

  void close() {
    if (!Listener)
      return;
    Replies->closeAll(CloseTimeout);
    // cpprestsdk starts to read from a keep-alive connection just after it
    // reports a response as sent, and crashes if the connection is closed in
    // between.
    std::this_thread::sleep_for(CloseDelay);
    try {
      Listener->close().wait();
    } catch (const std::exception &) { // the listener is already closed
    }
    Listener.reset();
  }

  internal::OpenReplies &replies() { return *Replies; }

private:
  [[nodiscard]] std::function<void(const web::http::http_request &)>
  makeListenerHandler() const {
    return
        [replies = Replies, handler = OnRequest, limit = Settings.MaxBodyBytes](
            const web::http::http_request &message) {
          auto reply = std::make_shared<internal::Reply>(message, replies);
          replies->add(reply);
          if (const auto ec = internal::checkHead(message)) {
            internal::discardBody(message);
            reply->reject(makeErrorResponse(ec));
            return;
          }
          internal::readRequest(
              message, limit, [reply, handler](core::Result<Request> request) {
                if (!request) {
                  reply->reject(makeErrorResponse(request.error()));
                  return;
                }
                (*handler)(std::move(request).value(),
                           std::make_shared<internal::ReplyHandle>(reply));
              });
        };
  }

  ServerSettings Settings;
  std::shared_ptr<const Handler> OnRequest;
  std::shared_ptr<internal::OpenReplies> Replies;
  std::unique_ptr<http_listener> Listener;
};

Server::Server(ServerSettings settings, Handler handler)
    : Internals(
          std::make_unique<Impl>(std::move(settings), std::move(handler))) {}

Server::~Server() { close(); }

std::error_code Server::open() { return Internals->open(); }

void Server::drain() { Internals->replies().drain(); }

std::size_t Server::inFlight() const { return Internals->replies().size(); }

void Server::close() { Internals->close(); }

} // namespace cowslipridge::http
