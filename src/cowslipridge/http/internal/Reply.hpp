#pragma once

#include "cowslipridge/http/Server.hpp"

#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>

namespace cowslipridge::http::internal {

class Reply;

/// The incomplete replies of one server.
class OpenReplies {
public:
  void add(const std::shared_ptr<Reply> &reply);
  void remove(const Reply *reply);
  [[nodiscard]] std::size_t size() const;

  void drain() { Draining = true; }
  [[nodiscard]] bool draining() const { return Draining; }
  [[nodiscard]] bool closed() const { return Closed; }
  /// Aborts all replies, rejects new ones and waits until all are removed or
  /// `limit` has passed.
  void closeAll(std::chrono::milliseconds limit);

private:
  mutable std::mutex Guard;
  std::condition_variable Removed;
  std::map<const Reply *, std::weak_ptr<Reply>> Open;
  std::atomic<bool> Draining = false;
  std::atomic<bool> Closed = false;
};

/// The response to one received request.
class Reply : public std::enable_shared_from_this<Reply> {
public:
  Reply(const web::http::http_request &message,
        std::shared_ptr<OpenReplies> open);

  void respond(Response response);
  /// Responds and closes the connection, because the bytes that follow an
  /// invalid request cannot be parsed reliably.
  void reject(Response response);
  void start(int status, const Headers &fields);
  void write(const std::string &chunk);
  void finish();
  void abort();
  [[nodiscard]] bool isDisconnected() const { return Disconnected; }
  /// Responds with status 500, or aborts a response that was started.
  void abandon();

private:
  enum class Phase { Unanswered, Streaming, Ended };

  void respondLocked(Response response, bool closeConnection);
  void abortLocked();
  [[nodiscard]] web::http::http_response
  makeHead(int status, const Headers &fields, bool closeConnection) const;
  void send(const web::http::http_response &response);
  void onSent(bool failed);

  std::mutex Guard;
  Phase CurrentPhase = Phase::Unanswered;
  web::http::http_request Message;
  std::shared_ptr<OpenReplies> Replies;
  concurrency::streams::producer_consumer_buffer<std::uint8_t> Body;
  std::atomic<bool> Disconnected = false;
};

/// The responder passed to a handler. Its destructor abandons the reply.
class ReplyHandle final : public Responder {
public:
  explicit ReplyHandle(std::shared_ptr<Reply> reply);
  ~ReplyHandle() override;
  ReplyHandle(const ReplyHandle &) = delete;
  ReplyHandle &operator=(const ReplyHandle &) = delete;

  void respond(Response response) override;
  void start(int status, Headers fields) override;
  void write(std::string chunk) override;
  void finish() override;
  void abort() override;
  [[nodiscard]] bool isDisconnected() const override;

private:
  std::shared_ptr<Reply> Target;
};

} // namespace cowslipridge::http::internal
