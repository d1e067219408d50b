#include "cowslipridge/http/internal/Reply.hpp"

#include "cowslipridge/http/internal/FieldFilter.hpp"
#include "cowslipridge/http/internal/Tasks.hpp"

#include <cpprest/containerstream.h>

#include <stdexcept>
#include <utility>
#include <vector>

namespace cowslipridge::http::internal {

namespace {

/// Maximum bytes queued for a slow client before its response is aborted.
constexpr std::size_t MaxQueuedBytes = std::size_t{16} * 1024 * 1024;

} // namespace

void OpenReplies::add(const std::shared_ptr<Reply> &reply) {
  const std::lock_guard lock(Guard);
  Open.emplace(reply.get(), reply);
}

void OpenReplies::remove(const Reply *reply) {
  const std::lock_guard lock(Guard);
  Open.erase(reply);
  Removed.notify_all();
}

std::size_t OpenReplies::size() const {
  const std::lock_guard lock(Guard);
  return Open.size();
}

void OpenReplies::closeAll(std::chrono::milliseconds limit) {
  Draining = true;
  Closed = true;
  std::vector<std::shared_ptr<Reply>> live;
  {
    const std::lock_guard lock(Guard);
    for (const auto &[key, reply] : Open)
      if (auto it = reply.lock())
        live.push_back(std::move(it));
  }
  for (const auto &it : live)
    it->abort();
  std::unique_lock lock(Guard);
  Removed.wait_for(lock, limit, [this] { return Open.empty(); });
}

Reply::Reply(const web::http::http_request &message,
             std::shared_ptr<OpenReplies> open)
    : Message(message), Replies(std::move(open)) {}

void Reply::respond(Response response) {
  const std::lock_guard lock(Guard);
  respondLocked(std::move(response), false);
}

void Reply::reject(Response response) {
  const std::lock_guard lock(Guard);
  respondLocked(std::move(response), true);
}

void Reply::respondLocked(Response response, bool closeConnection) {
  if (CurrentPhase != Phase::Unanswered)
    return;
  CurrentPhase = Phase::Ended;
  auto wire = makeHead(response.Status, response.Fields, closeConnection);
  const std::size_t size = response.Body.size();
  if (size != 0 && Message.method() != web::http::methods::HEAD) {
    const auto type = findHeader(response.Fields, "Content-Type");
    wire.set_body(concurrency::streams::bytestream::open_istream(
                      std::move(response.Body)),
                  size, type.value_or("application/octet-stream"));
  }
  send(wire);
}

void Reply::start(int status, const Headers &fields) {
  const std::lock_guard lock(Guard);
  if (CurrentPhase != Phase::Unanswered)
    return;
  if (Replies->closed()) {
    respondLocked(makeProblem({"leaving", "Leaving", 503, ""}), true);
    return;
  }
  CurrentPhase = Phase::Streaming;
  auto wire = makeHead(status, fields, false);
  const auto type = findHeader(fields, "Content-Type");
  if (Message.method() != web::http::methods::HEAD)
    wire.set_body(Body.create_istream(),
                  type.value_or("application/octet-stream"));
  send(wire);
}

void Reply::write(const std::string &chunk) {
  const std::lock_guard lock(Guard);
  if (CurrentPhase != Phase::Streaming || Disconnected || chunk.empty())
    return;
  if (Body.in_avail() + chunk.size() > MaxQueuedBytes) {
    Disconnected = true;
    abortLocked();
    return;
  }
  const auto *bytes = reinterpret_cast<const std::uint8_t *>(chunk.data());
  ignoreFailure(Body.putn_nocopy(bytes, chunk.size()));
  ignoreFailure(Body.sync());
}

void Reply::finish() {
  const std::lock_guard lock(Guard);
  if (CurrentPhase != Phase::Streaming)
    return;
  CurrentPhase = Phase::Ended;
  ignoreFailure(Body.close(std::ios_base::out));
}

void Reply::abort() {
  const std::lock_guard lock(Guard);
  if (CurrentPhase == Phase::Streaming)
    abortLocked();
  respondLocked(makeProblem({"internal", "Aborted", 500, ""}), true);
}

void Reply::abandon() {
  const std::lock_guard lock(Guard);
  if (CurrentPhase == Phase::Streaming)
    abortLocked();
  respondLocked(makeProblem({"internal", "Request was not answered", 500, ""}),
                false);
}

void Reply::abortLocked() {
  CurrentPhase = Phase::Ended;
  // cpprestsdk closes the connection without a final chunk when the body
  // stream fails.
  ignoreFailure(Body.close(
      std::ios_base::out,
      std::make_exception_ptr(std::runtime_error("response aborted"))));
}

web::http::http_response Reply::makeHead(int status, const Headers &fields,
                                         bool closeConnection) const {
  web::http::http_response wire(static_cast<web::http::status_code>(status));
  for (const Header &field : fields)
    if (!isConnectionField(field.Name) && isWritable(field))
      wire.headers()[field.Name] = field.Value;
  if (closeConnection || Replies->draining())
    wire.headers()["Connection"] = "close";
  return wire;
}

void Reply::send(const web::http::http_response &response) {
  auto self = shared_from_this();
  try {
    Message.reply(response).then([self](const pplx::task<void> &done) {
      bool failed = false;
      try {
        done.wait();
      } catch (...) {
        failed = true;
      }
      self->onSent(failed);
    });
  } catch (const std::exception &) { // the closing server has responded
    Disconnected = true;
    Replies->remove(this);
  }
}

void Reply::onSent(bool failed) {
  if (failed)
    Disconnected = true;
  Replies->remove(this);
}

ReplyHandle::ReplyHandle(std::shared_ptr<Reply> reply)
    : Target(std::move(reply)) {}

ReplyHandle::~ReplyHandle() { Target->abandon(); }

void ReplyHandle::respond(Response response) {
  Target->respond(std::move(response));
}

void ReplyHandle::start(int status, Headers fields) {
  Target->start(status, fields);
}

void ReplyHandle::write(std::string chunk) { Target->write(chunk); }

void ReplyHandle::finish() { Target->finish(); }

void ReplyHandle::abort() { Target->abort(); }

bool ReplyHandle::isDisconnected() const { return Target->isDisconnected(); }

} // namespace cowslipridge::http::internal
