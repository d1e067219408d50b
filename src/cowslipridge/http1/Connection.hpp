#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace cowslipridge::http1 {

using Socket = boost::asio::ip::tcp::socket;
using Endpoint = boost::asio::ip::tcp::endpoint;

/// How soon the operating system gives up a connection whose peer is silent.
struct DeadPeerLimits {
  core::Millis Unacknowledged{2500}; ///< data sent and not acknowledged
  /// Idle time until the peer is probed, and between two probes; whole seconds.
  core::Millis ProbeInterval{1000};
  int Probes = 2; ///< unanswered ones that end the connection
};

/// Sets no-delay, keep-alive probes and the limit on unacknowledged data.
/// Options that the system refuses stay at their defaults.
void tune(Socket &socket, const DeadPeerLimits &limits);
/// Closes the socket so that the peer sees a reset.
void reset(Socket &socket);
void close(Socket &socket);

} // namespace cowslipridge::http1
