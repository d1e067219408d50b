#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace cowslipridge::gateway {

/// Holds the requests that arrive before the first configuration is known.
///
/// When all gateways are lost and restart together, callers whose answers were
/// cut retry at once. They reach a gateway milliseconds before its first
/// listing of the store is complete; a rejection would use up their retries.
/// Requests are held for a short time, in bounded number and memory.
class StartupQueue {
public:
  /// Serves or rejects the request. Called once, unless it is removed before.
  using Handler = std::function<void()>;
  using Ticket = std::uint64_t;

  /// Longest time for which a request is held.
  static constexpr core::Millis MaxHold{500};
  static constexpr std::size_t MaxRequests = 256;
  static constexpr std::size_t MaxBytes = 4UL * 1024 * 1024;

  /// Returns whether a request of this size can be held.
  [[nodiscard]] bool hasRoom(std::size_t bytes) const;
  /// Holds a request for which there is room.
  Ticket hold(std::size_t bytes, core::Millis now, Handler handler);
  /// Removes a request whose caller has disconnected.
  void remove(Ticket ticket);
  /// Releases all requests in order of arrival.
  void releaseAll();
  /// Releases the requests that were held for MaxHold.
  void expire(core::Millis now);
  [[nodiscard]] std::size_t size() const { return Requests.size(); }

private:
  struct Request {
    std::size_t Bytes = 0;
    core::Millis HeldSince;
    Handler OnRelease;
  };

  std::map<Ticket, Request> Requests; ///< in order of arrival
  std::size_t Bytes = 0;
  Ticket NextTicket = 1;
};

} // namespace cowslipridge::gateway
