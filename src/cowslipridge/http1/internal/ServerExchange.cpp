#include "cowslipridge/http1/internal/ServerExchange.hpp"

#include <utility>

namespace cowslipridge::http1::internal {

namespace {

constexpr int InternalServerError = 500;

} // namespace

void ServerExchange::handOver(
    const std::shared_ptr<ServerConnection> &connection, std::uint64_t number,
    const Server::Handler &handler) {
  const auto exchange = std::make_shared<ServerExchange>(connection, number);
  try {
    handler(exchange);
  } catch (...) {
    exchange->fail();
    throw;
  }
}

// A runner may have got the request, so that the status must not be one of a
// request that did not run.
void ServerExchange::fail() {
  if (isCurrent() && Connection->hasOpenResponse()) {
    abort();
    return;
  }
  ResponseHead head;
  head.Status = InternalServerError;
  respond(std::move(head), {});
}

bool ServerExchange::isCurrent() const {
  return Connection->exchangeNumber() == Number;
}

const RequestHead &ServerExchange::head() const {
  static const RequestHead Ended;
  return isCurrent() ? Connection->head() : Ended;
}

const std::string &ServerExchange::body() const {
  static const std::string Ended;
  return isCurrent() ? *Connection->body() : Ended;
}

std::shared_ptr<const std::string> ServerExchange::sharedBody() const {
  return isCurrent() ? Connection->body() : std::make_shared<std::string>();
}

void ServerExchange::respond(ResponseHead head, std::string_view body) {
  if (isCurrent())
    Connection->respond(std::move(head), body);
}

void ServerExchange::begin(ResponseHead head) {
  if (isCurrent())
    Connection->begin(std::move(head));
}

void ServerExchange::send(std::string_view data) {
  if (isCurrent())
    Connection->send(data);
}

void ServerExchange::end() {
  if (isCurrent())
    Connection->end();
}

void ServerExchange::abort() {
  if (isCurrent())
    Connection->abort();
}

std::size_t ServerExchange::backlog() const {
  return isCurrent() ? Connection->backlog() : 0;
}

void ServerExchange::onDrained(std::function<void()> handler) {
  if (isCurrent())
    Connection->onDrained(std::move(handler));
}

void ServerExchange::onClientDisconnect(std::function<void()> handler) {
  if (isCurrent())
    Connection->onClientDisconnect(std::move(handler));
}

} // namespace cowslipridge::http1::internal
