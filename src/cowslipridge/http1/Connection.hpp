#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace cowslipridge::http1 {

using Socket = boost::asio::ip::tcp::socket;
using Endpoint = boost::asio::ip::tcp::endpoint;

/// How soon the operating system closes a connection to an unresponsive peer.
struct DeadPeerLimits {
  /// How long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
  core::Millis UnacknowledgedTimeout{2500};
  /// Idle time before the first keep-alive probe, and the time between probes.
  /// Rounded down to whole seconds.
  core::Millis ProbeInterval{1000};
  /// Number of unanswered probes after which the connection is closed.
  int MaxProbes = 2;
};

/// Sets TCP_NODELAY, keep-alive probes and the timeout for unacknowledged data.
/// Options that the operating system rejects keep their defaults.
void configureSocket(Socket &socket, const DeadPeerLimits &limits);
/// Returns whether the operating system holds received bytes that were not read
/// yet. A timeout that waits for bytes has not been missed by the peer then,
/// whichever of their handlers the event loop runs first.
bool hasUnreadInput(const Socket &socket);
/// Returns whether the connection is open and nothing has arrived that was not
/// read, neither bytes nor the end of the connection.
bool isQuiet(Socket &socket);
/// Returns whether the end of the connection has arrived and no bytes before it
/// are left to be read.
bool isClosedByPeer(Socket &socket);
/// Closes the socket so that the peer receives a TCP reset.
void reset(Socket &socket);
void close(Socket &socket);

} // namespace cowslipridge::http1
