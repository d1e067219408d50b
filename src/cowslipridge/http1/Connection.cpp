#include "cowslipridge/http1/Connection.hpp"

#include <boost/asio/socket_base.hpp>

#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cowslipridge::http1 {

namespace {

constexpr std::int64_t MillisPerSecond = 1000;

template <int Level, int Name>
using IntOption = boost::asio::detail::socket_option::integer<Level, Name>;

// Receives the next byte and leaves it unread; returns as recv() does.
ssize_t peek(Socket &socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

} // namespace

void configureSocket(Socket &socket, const DeadPeerLimits &limits) {
  // Errors are ignored: a missing option only delays the detection of an
  // unresponsive peer, since the timeouts of the calls apply without it.
  boost::system::error_code ignored;
  const int intervalSeconds =
      static_cast<int>(limits.ProbeInterval.count() / MillisPerSecond);
  const int userTimeoutMs =
      static_cast<int>(limits.UnacknowledgedTimeout.count());
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPIDLE>(intervalSeconds),
                    ignored);
  socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPINTVL>(intervalSeconds),
                    ignored);
  socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPCNT>(limits.MaxProbes),
                    ignored);
  socket.set_option(IntOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(userTimeoutMs),
                    ignored);
}

bool hasUnreadInput(const Socket &socket) {
  boost::system::error_code ignored;
  return socket.available(ignored) > 0;
}

bool isQuiet(Socket &socket) {
  return peek(socket) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool isClosedByPeer(Socket &socket) { return peek(socket) == 0; }

void reset(Socket &socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

void close(Socket &socket) {
  boost::system::error_code ignored;
  socket.close(ignored);
}

} // namespace cowslipridge::http1
