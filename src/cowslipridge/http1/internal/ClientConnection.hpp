#pragma once

#include "cowslipridge/http1/Client.hpp"
#include "cowslipridge/http1/LoopTimer.hpp"
#include "cowslipridge/http1/ResponseParser.hpp"
#include "cowslipridge/http1/internal/CarriedRequest.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace cowslipridge::http1::internal {

/// A persistent connection to a server. Carries at most one call at a time.
class ClientConnection final
    : public std::enable_shared_from_this<ClientConnection> {
public:
  /// Notifies the connection pool of state changes.
  struct PoolCallbacks {
    std::function<void(const std::shared_ptr<ClientConnection> &)> OnIdle;
    std::function<void(ClientConnection *)> OnClosed;
  };

  /// `id` identifies the connection at its client, for the log.
  ClientConnection(boost::asio::io_context &loop, const core::Clock &clock,
                   const ClientLimits &limits, std::uint64_t id,
                   PoolCallbacks callbacks);

  /// Starts a call and returns its handle, which has no effect on later calls.
  std::shared_ptr<Call> start(CallSpec spec,
                              std::shared_ptr<CallEvents> events);
  /// Returns whether the connection is idle and may carry another call. It may
  /// not if anything has arrived on it, even if the loop has not handled that.
  [[nodiscard]] bool isUsable(core::Millis now);
  /// Returns whether the call may go out on this connection. A connection never
  /// carries the same request twice: its server may send the response of the
  /// first time once more, and nothing would tell it from the second one's.
  [[nodiscard]] bool mayCarry(const CarriedRequest &request) const;
  void shutDown();

private:
  class Handle;

  void cancel();
  void pause() { Paused = true; }
  void resume();
  [[nodiscard]] CallProgress progress() const;
  /// Returns the time since the start of the call.
  [[nodiscard]] core::Millis age() const;
  enum class Phase { Unconnected, Connecting, Idle, Busy, Closed };

  void connect();
  void onConnected(const boost::system::error_code &ec);
  [[nodiscard]] bool recompose();
  void send();
  void onSent(const boost::system::error_code &ec);
  void read();
  void onRead(const boost::system::error_code &ec, std::size_t n);
  void onPeerEnd();
  void endResponse();
  void parse();
  bool deliver();
  [[nodiscard]] bool namesTwoRequests() const;
  [[nodiscard]] bool isMismatched() const;
  void skipMismatched();
  void complete();
  void releaseOrClose();
  void watch();
  void fail(CallFailure failure);
  void failBroken();
  void failMalformed(std::string defect);
  void armTimer(core::Millis limit);
  void onTimeout();
  void close();

  Socket Peer;
  const core::Clock &Clock;
  const ClientLimits Limits;
  const std::uint64_t Id;
  PoolCallbacks Pool;
  LoopTimer Timer;
  Phase State = Phase::Unconnected;
  std::uint64_t CallNumber = 0;
  std::vector<CarriedRequest> Carried;
  CallSpec Spec;
  std::shared_ptr<CallEvents> Events;
  core::Millis StartedAt; ///< of the call
  CallProgress Progress;  ///< of the call, without its age
  std::optional<ResponseParser> Parser;
  std::string Input;
  std::array<char, 8192> Chunk{};
  bool ReadPending = false;
  bool Paused = false;
  bool RequestSent = false; ///< all of it was written
  bool WriteFailed = false;
  /// The response ended with its connection; the request is still written.
  bool EndPending = false;
  bool HeadDelivered = false;
  bool Mismatched = false;      ///< the response belongs to another call
  std::size_t SkippedBytes = 0; ///< of responses that belong to other calls
  core::Millis UsableUntil;
};

} // namespace cowslipridge::http1::internal
