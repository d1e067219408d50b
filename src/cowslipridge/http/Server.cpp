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

/// Bounds the wait for callers that do not read their last bytes.
constexpr std::chrono::milliseconds CloseTimeout{5'000};
constexpr std::chrono::milliseconds CloseSettleTime{10};

web::uri listenUri(const ServerSettings &settings) {
  return web::uri_builder()
      .set_scheme("http")
      .set_host(settings.Address)
      .set_port(settings.Port)
      .to_uri();
}

Response refusal(std::error_code ec) {
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
      // These two get answers of the library's own otherwise.
      listener->support(web::http::methods::OPTIONS, handler);
      listener->support(web::http::methods::TRCE, handler);
      listener->open().wait();
      Listener = std::move(listener);
      return {};
    } catch (const std::exception &) { // the library hides the cause
      return std::make_error_code(std::errc::address_in_use);
    }
  }

  void close() {
    if (!Listener)
      return;
    Replies->closeAll(CloseTimeout);
    // The library begins to read from a kept connection just after it reports
    // a response as sent, and crashes when that connection is closed between.
    std::this_thread::sleep_for(CloseSettleTime);
    try {
      Listener->close().wait();
    } catch (const std::exception &) { // closed already
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
            reply->refuse(refusal(ec));
            return;
          }
          internal::readRequest(
              message, limit, [reply, handler](core::Result<Request> request) {
                if (!request) {
                  reply->refuse(refusal(request.error()));
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
