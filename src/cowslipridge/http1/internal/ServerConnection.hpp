#pragma once

#include "cowslipridge/http1/LoopTimer.hpp"
#include "cowslipridge/http1/internal/Eviction.hpp"
#include "cowslipridge/http1/internal/RequestInput.hpp"
#include "cowslipridge/http1/internal/ResponseWriter.hpp"
#include "cowslipridge/http1/internal/ServerContext.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace cowslipridge::http1::internal {

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
  /// Returns what decides whether the connection is closed for want of room.
  [[nodiscard]] ConnectionState state() const;
  /// Returns whether a body that is being received holds room in the budget.
  [[nodiscard]] bool holdsRoom() const { return Input.holdsRoom(); }
  void shutDown();
  /// Gives back the bytes that a connection holds without a request in
  /// progress. A request whose head was received gets a response.
  void endForLackOfRoom();

  /// Returns the number of the connection at its server.
  [[nodiscard]] std::uint64_t id() const { return Id; }
  /// Returns the number of the current request. It changes once the response
  /// is written.
  [[nodiscard]] std::uint64_t exchangeNumber() const { return Number; }
  /// Returns whether a response was started that is not complete.
  [[nodiscard]] bool hasOpenResponse() const {
    return Writer.hasBegun() && !Writer.hasEnded();
  }
  // The functions of the current request's Exchange.
  [[nodiscard]] const RequestHead &head() const { return Input.head(); }
  [[nodiscard]] std::shared_ptr<const std::string> body() const { return Body; }
  [[nodiscard]] core::Millis begunAt() const { return Input.begunAt(); }
  void respond(ResponseHead head, std::string_view body);
  void begin(ResponseHead head);
  void send(std::string_view data);
  void end();
  void abort();
  [[nodiscard]] std::size_t backlog() const { return Writer.backlog(); }
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
  void onBodyDue();
  void reject(int status);
  void reject(ResponseHead head);
  void sendContinue();
  void dispatch();
  [[nodiscard]] bool lacksRoomForHead() const;
  void write();
  void onWritten(const boost::system::error_code &ec);
  void finishResponse();
  void notifyDrained();
  void notifyDisconnect();
  void armTimer();
  void onTimer();
  void onLate();
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
  [[nodiscard]] Occupation occupation() const;
  /// Returns the bytes that the connection holds besides bodies with room of
  /// their own.
  [[nodiscard]] std::size_t ownBytes() const;
  /// Tells the budget how many bytes the connection holds now.
  void updateHeldBytes();

  Socket Peer;
  std::shared_ptr<ServerContext> Context;
  const std::uint64_t Id;
  std::function<void(ServerConnection *)> OnClosed;
  LoopTimer Timer;
  RequestInput Input;
  ResponseWriter Writer;
  BufferBudget::Share Held; ///< of all bytes but those of bodies with room
  Phase State = Phase::Reading;
  std::shared_ptr<const std::string> Body; ///< of the current request
  std::array<char, 8192> Chunk{};
  std::uint64_t Number = 0;
  bool ReadPending = false;
  bool HasReadSinceCheck = false; ///< bytes may have been read since a timer
                                  ///< was started or last checked
  std::optional<core::Millis> FirstRequestUntil; ///< until a request begins
  core::Millis WrittenAt;         ///< when bytes were written last
  std::size_t DiscardedBytes = 0; ///< while closing
  bool KeepAlive = true;
  bool InFlight = false;
  std::function<void()> DrainHandler;
  std::function<void()> DisconnectHandler;
};

} // namespace cowslipridge::http1::internal
