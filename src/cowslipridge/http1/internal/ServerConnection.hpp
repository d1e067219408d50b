#pragma once

#include "cowslipridge/http1/Server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>

namespace cowslipridge::http1::internal {

/// What the connections of one server share.
struct ServerShared {
  const core::Clock &Clock;
  Server::Handler Handler;
  ServerLimits Limits;
  bool CloseAfterAnswers = false;
  std::size_t InFlight = 0;
};

/// One connection of a client: reads requests one after the other and writes
/// their answers.
class ServerConnection final
    : public Exchange,
      public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(Socket socket, std::shared_ptr<ServerShared> shared,
                   std::function<void(ServerConnection *)> onClosed);
  ~ServerConnection() override;

  void start();
  [[nodiscard]] bool isIdle() const;
  void shutDown();

  [[nodiscard]] const RequestHead &head() const override;
  [[nodiscard]] const std::string &body() const override;
  [[nodiscard]] core::Millis readAt() const override { return ReadAt; }
  void respond(ResponseHead head, std::string_view body) override;
  void begin(ResponseHead head) override;
  void send(std::string_view data) override;
  void end() override;
  void abort() override;
  [[nodiscard]] std::size_t backlog() const override;
  void onDrained(std::function<void()> handler) override;
  void onClientDisconnect(std::function<void()> handler) override;

private:
  enum class Phase { Reading, Answering, Closing, Closed };

  void read();
  void onRead(const boost::system::error_code &ec, std::size_t n);
  void parse();
  void onStatus(ParseStatus status);
  void refuse(int status);
  void sendContinue();
  void dispatch();
  void write();
  void onWritten(const boost::system::error_code &ec);
  void finishAnswer();
  void drained();
  void left();
  void armTimer();
  void onTimer();
  void linger();
  void closed();
  void leaveFlight();

  Socket Peer;
  std::shared_ptr<ServerShared> Shared;
  std::function<void(ServerConnection *)> OnClosed;
  boost::asio::steady_timer Timer;
  Phase State = Phase::Reading;
  std::optional<RequestParser> Parser;
  std::string Input;
  std::array<char, 8192> Chunk{};
  bool Reads = false;
  bool Begun = false; ///< bytes of a request have come
  bool ContinueSent = false;
  core::Millis ReadAt;
  Framing Answer = Framing::None;
  bool AnswerBegun = false;
  bool AnswerEnded = false;
  bool KeepAlive = true;
  bool InFlight = false;
  std::string Pending; ///< to be written after `Writing`
  std::string Writing;
  std::function<void()> Drained;
  std::function<void()> Left;
};

} // namespace cowslipridge::http1::internal
