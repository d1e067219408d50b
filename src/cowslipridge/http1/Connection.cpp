#include "cowslipridge/http1/Connection.hpp"

#include <boost/asio/socket_base.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace cowslipridge::http1 {

namespace {

constexpr std::int64_t MillisPerSecond = 1000;

template <int Level, int Name>
using IntOption = boost::asio::detail::socket_option::integer<Level, Name>;

} // namespace

void tune(Socket &socket, const DeadPeerLimits &limits) {
  // A missing option costs time until a silent peer is noticed, no more: the
  // time-outs of the calls hold without it.
  boost::system::error_code ignored;
  const int interval =
      static_cast<int>(limits.ProbeInterval.count() / MillisPerSecond);
  const int unacknowledged = static_cast<int>(limits.Unacknowledged.count());
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPIDLE>(interval), ignored);
  socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPINTVL>(interval), ignored);
  socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPCNT>(limits.Probes),
                    ignored);
  socket.set_option(IntOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledged),
                    ignored);
}

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
