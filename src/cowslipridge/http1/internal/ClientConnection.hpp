#pragma once

#include "cowslipridge/http1/Client.hpp"
#include "cowslipridge/http1/ResponseParser.hpp"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace cowslipridge::http1::internal {

/// One connection to a server: at most one call at a time, idle in between.
class ClientConnection final
    : public std::enable_shared_from_this<ClientConnection> {
public:
  /// What the pool hears of its connection.
  struct Owner {
    std::function<void(const std::shared_ptr<ClientConnection> &)> Idle;
    std::function<void(ClientConnection *)> Closed;
  };

  ClientConnection(boost::asio::io_context &loop, const core::Clock &clock,
                   const ClientLimits &limits, Owner owner);

  /// Begins a call and returns its handle, which has no effect on later calls.
  std::shared_ptr<Call> start(CallSpec spec,
                              std::shared_ptr<CallEvents> events);
  /// Whether an idle connection may carry another call.
  [[nodiscard]] bool isUsable(core::Millis now) const;
  void shutDown();

private:
  class Handle;

  void cancel();
  void pause() { Paused = true; }
  void resume();
  enum class Phase { Fresh, Connecting, Idle, Busy, Closed };

  void connect();
  void onConnected(const boost::system::error_code &ec);
  void send();
  void onSent(const boost::system::error_code &ec);
  void read();
  void onRead(const boost::system::error_code &ec, std::size_t n);
  void parse();
  bool deliver();
  bool isForeign() const;
  void skipForeign();
  void complete();
  void rest();
  void fail(CallFailure failure);
  void failBroken();
  void armTimer(core::Millis limit, CallFailure failure);
  void close();

  Socket Peer;
  const core::Clock &Clock;
  const ClientLimits Limits;
  Owner Pool;
  boost::asio::steady_timer Timer;
  Phase State = Phase::Fresh;
  std::uint64_t CallNumber = 0;
  CallSpec Spec;
  std::shared_ptr<CallEvents> Events;
  core::Millis Deadline;
  std::optional<ResponseParser> Parser;
  std::string Input;
  std::array<char, 8192> Chunk{};
  bool Reads = false;
  bool Paused = false;
  bool Sent = false;
  bool HeadGiven = false;
  bool Foreign = false;
  core::Millis UsableUntil;
};

} // namespace cowslipridge::http1::internal
