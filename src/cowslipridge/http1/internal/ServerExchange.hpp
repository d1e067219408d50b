#pragma once

#include "cowslipridge/http1/internal/ServerConnection.hpp"

#include <cstdint>
#include <memory>

namespace cowslipridge::http1::internal {

/// One exchange of a connection. Acts only while the connection carries its
/// request: a late call can't reach the response to the next request.
class ServerExchange final : public Exchange {
public:
  ServerExchange(std::shared_ptr<ServerConnection> connection,
                 std::uint64_t number)
      : Connection(std::move(connection)), Number(number) {}

  /// Passes the current request of `connection` to `handler`. If the handler
  /// throws, the request gets an error response before the exception goes on.
  static void handOver(const std::shared_ptr<ServerConnection> &connection,
                       std::uint64_t number, const Server::Handler &handler);

  [[nodiscard]] const RequestHead &head() const override;
  [[nodiscard]] const std::string &body() const override;
  [[nodiscard]] std::shared_ptr<const std::string> sharedBody() const override;
  [[nodiscard]] std::uint64_t connection() const override {
    return Connection->id();
  }
  [[nodiscard]] core::Millis begunAt() const override { return BegunAt; }
  void respond(ResponseHead head, std::string_view body) override;
  void begin(ResponseHead head) override;
  void send(std::string_view data) override;
  void end() override;
  void abort() override;
  [[nodiscard]] std::size_t backlog() const override;
  void onDrained(std::function<void()> handler) override;
  void onClientDisconnect(std::function<void()> handler) override;

private:
  [[nodiscard]] bool isCurrent() const;
  void fail();

  std::shared_ptr<ServerConnection> Connection;
  std::uint64_t Number;
  core::Millis BegunAt = Connection->begunAt();
};

} // namespace cowslipridge::http1::internal
