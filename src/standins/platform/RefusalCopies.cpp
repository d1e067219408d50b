#include "standins/platform/RefusalCopies.hpp"

#include <utility>

namespace cowslipridge::standins::platform {

namespace {

constexpr std::string_view NotExecuted = "Not-Executed";

} // namespace

/// Remembers a refusal that is sent through it. If a copy was sent ahead, it
/// writes the whole response as the rest of that copy.
class RefusalCopies::CopyingExchange final : public http1::Exchange {
public:
  CopyingExchange(RefusalCopies &copies,
                  std::shared_ptr<http1::Exchange> exchange)
      : Copies(copies), Inner(std::move(exchange)) {
    const auto due = Copies.Due.find(Inner->connection());
    if (due == Copies.Due.end())
      return;
    Inner->begin(due->second);
    Copies.Due.erase(due);
    FollowsCopy = true;
  }

  [[nodiscard]] const http1::RequestHead &head() const override {
    return Inner->head();
  }
  [[nodiscard]] const std::string &body() const override {
    return Inner->body();
  }
  [[nodiscard]] std::shared_ptr<const std::string> sharedBody() const override {
    return Inner->sharedBody();
  }
  [[nodiscard]] std::uint64_t connection() const override {
    return Inner->connection();
  }
  [[nodiscard]] core::Millis begunAt() const override {
    return Inner->begunAt();
  }

  void respond(http1::ResponseHead head, std::string_view body) override {
    head.Body = http1::Framing::Length;
    head.Length = body.size();
    if (head.Fields.find(NotExecuted))
      Copies.Due.insert_or_assign(Inner->connection(), head);
    begin(std::move(head));
    send(body);
    end();
  }
  void begin(http1::ResponseHead head) override {
    IsChunked = head.Body == http1::Framing::Chunked;
    if (FollowsCopy)
      Inner->send(http1::writeHead(head));
    else
      Inner->begin(std::move(head));
  }
  void send(std::string_view data) override {
    if (FollowsCopy && IsChunked)
      Inner->send(http1::writeChunk(data));
    else
      Inner->send(data);
  }
  void end() override {
    if (FollowsCopy && IsChunked)
      Inner->send(http1::LastChunk);
    Inner->end();
  }
  void abort() override { Inner->abort(); }
  [[nodiscard]] std::size_t backlog() const override {
    return Inner->backlog();
  }
  void onDrained(std::function<void()> handler) override {
    Inner->onDrained(std::move(handler));
  }
  void onClientDisconnect(std::function<void()> handler) override {
    Inner->onClientDisconnect(std::move(handler));
  }

private:
  RefusalCopies &Copies;
  std::shared_ptr<http1::Exchange> Inner;
  bool FollowsCopy = false;
  bool IsChunked = false;
};

std::shared_ptr<http1::Exchange>
RefusalCopies::wrap(const std::shared_ptr<http1::Exchange> &exchange) {
  return std::make_shared<CopyingExchange>(*this, exchange);
}

} // namespace cowslipridge::standins::platform
