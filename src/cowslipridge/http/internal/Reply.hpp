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

/// The replies of one server that have not ended yet.
class OpenReplies {
public:
  void add(const std::shared_ptr<Reply> &reply);
  void remove(const Reply *reply);
  [[nodiscard]] std::size_t size() const;

  void drain() { Draining = true; }
  [[nodiscard]] bool draining() const { return Draining; }
  [[nodiscard]] bool closed() const { return Closed; }
  /// Breaks off all replies, refuses to start new ones and waits until the
  /// callers were told or `limit` has passed.
  void closeAll(std::chrono::milliseconds limit);

private:
  mutable std::mutex Guard;
  std::condition_variable Removed;
  std::map<const Reply *, std::weak_ptr<Reply>> Open;
  std::atomic<bool> Draining = false;
  std::atomic<bool> Closed = false;
};

/// The answer to one received request.
class Reply : public std::enable_shared_from_this<Reply> {
public:
  Reply(const web::http::http_request &message,
        std::shared_ptr<OpenReplies> open);

  void respond(Response response);
  /// Responds and closes the connection, because what follows on it cannot be
  /// trusted.
  void refuse(Response response);
  void start(int status, const Headers &fields);
  void write(const std::string &chunk);
  void finish();
  void abort();
  [[nodiscard]] bool isDisconnected() const { return Gone; }
  /// Answers 500 unless an answer was begun.
  void abandon();

private:
  enum class Phase { Waiting, Streaming, Ended };

  void respondLocked(Response response, bool closing);
  void breakOffLocked();
  [[nodiscard]] web::http::http_response
  makeHead(int status, const Headers &fields, bool closing) const;
  void send(const web::http::http_response &response);
  void onSent(bool failed);

  std::mutex Guard;
  Phase Progress = Phase::Waiting;
  web::http::http_request Message;
  std::shared_ptr<OpenReplies> Siblings;
  concurrency::streams::producer_consumer_buffer<std::uint8_t> Body;
  std::atomic<bool> Gone = false;
};

/// The responder that a handler holds; dropping it unanswered answers 500.
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
