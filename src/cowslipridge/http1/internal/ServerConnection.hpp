#pragma once

#include "cowslipridge/http1/LoopTimer.hpp"
#include "cowslipridge/http1/Server.hpp"
#include "cowslipridge/http1/internal/BodyRoom.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace cowslipridge::http1::internal {

/// State shared by the connections of one server.
struct ServerContext {
  const core::Clock &Clock;
  Server::Handler Handler;
  ServerLimits Limits = {};
  bool CloseAfterResponses = false;
  std::size_t InFlight = 0;
  std::uint64_t ConnectionsAccepted = 0;
  BufferBudget Buffers = BufferBudget();
  /// Set together with a limited budget.
  Server::NoRoomHandler OnNoRoom = nullptr;
};

/// A connection from a client. Reads requests one after the other and writes
/// their responses.
class ServerConnection final
    : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(Socket socket, std::shared_ptr<ServerContext> context,
                   std::function<void(ServerConnection *)> onClosed);
  ~ServerConnection();
  ServerConnection(const ServerConnection &) = delete;
  ServerConnection &operator=(const ServerConnection &) = delete;

  void start();
  /// Returns whether no part of a request was received, read or not, and no
  /// response is being sent.
  [[nodiscard]] bool isIdle() const;
  void shutDown();

  /// Returns the number of the connection at its server.
  [[nodiscard]] std::uint64_t id() const { return Id; }
  /// Returns the number of the current request. It changes once the response
  /// is written.
  [[nodiscard]] std::uint64_t exchangeNumber() const { return Number; }
  /// Returns whether a response was started that is not complete.
  [[nodiscard]] bool hasOpenResponse() const {
    return ResponseBegun && !ResponseEnded;
  }
  // The functions of the current request's Exchange.
  [[nodiscard]] const RequestHead &head() const;
  [[nodiscard]] std::shared_ptr<const std::string> body() const { return Body; }
  [[nodiscard]] core::Millis begunAt() const { return BegunAt; }
  void respond(ResponseHead head, std::string_view body);
  void begin(ResponseHead head);
  void send(std::string_view data);
  void end();
  void abort();
  [[nodiscard]] std::size_t backlog() const;
  void onDrained(std::function<void()> handler);
  void onClientDisconnect(std::function<void()> handler);

private:
  enum class Phase { Reading, Responding, Closing, Closed };

  [[nodiscard]] bool expectsFirstRequest() const;
  [[nodiscard]] bool mayRead() const;
  void read();
  void onRead(const boost::system::error_code &ec, std::size_t n);
  void parse();
  void onParseStatus(ParseStatus status);
  void reject(int status);
  void reject(ResponseHead head);
  void sendContinue();
  void dispatch();
  void write();
  void onWritten(const boost::system::error_code &ec);
  void finishResponse();
  void notifyDrained();
  void notifyDisconnect();
  void armTimer();
  void onTimer();
  void onLate();
  /// Returns the bytes that the body of the current request may take up.
  [[nodiscard]] std::size_t expectedBodyBytes() const;
  /// Returns whether there is room for the body. If not, reading stops until
  /// there is.
  bool admitBody();
  void onRoom();
  void onNoRoom();
  using TimerHandler = void (ServerConnection::*)();
  /// Calls `handler` if the client sends nothing that ends this wait.
  void startTimer(core::Millis limit, TimerHandler handler);
  void onExpired(TimerHandler handler);
  void linger();
  void finishClose();
  void clearInFlight();

  Socket Peer;
  std::shared_ptr<ServerContext> Context;
  const std::uint64_t Id;
  std::function<void(ServerConnection *)> OnClosed;
  LoopTimer Timer;
  BodyRoom Room;
  Phase State = Phase::Reading;
  std::optional<RequestParser> Parser;
  std::shared_ptr<const std::string> Body; ///< of the current request
  std::string Input;
  std::array<char, 8192> Chunk{};
  std::uint64_t Number = 0;
  bool ReadPending = false;
  bool HasReadSinceCheck = false; ///< bytes may have been read since a timer
                                  ///< was started or last checked
  bool RequestBegun = false; ///< bytes of the current request were received
  std::optional<core::Millis> FirstRequestUntil; ///< until a request begins
  bool ContinueSent = false;
  core::Millis LastReadAt;
  core::Millis BegunAt; ///< when bytes of the current request were read first
  Framing ResponseFraming = Framing::None;
  bool ResponseBegun = false;
  bool ResponseEnded = false;
  bool KeepAlive = true;
  bool InFlight = false;
  std::string Pending; ///< bytes to write after `Writing`
  std::string Writing; ///< bytes of the write in progress
  std::function<void()> DrainHandler;
  std::function<void()> DisconnectHandler;
};

} // namespace cowslipridge::http1::internal
