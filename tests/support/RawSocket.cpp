#include "support/RawSocket.hpp"

#include "support/Waiting.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace cowslipridge::support {

namespace {

sockaddr_in endpoint(const std::string &address, std::uint16_t port) {
  sockaddr_in it = {};
  it.sin_family = AF_INET;
  it.sin_port = htons(port);
  ::inet_pton(AF_INET, address.c_str(), &it.sin_addr);
  return it;
}

bool readable(int handle) {
  pollfd it = {handle, POLLIN, 0};
  const auto limit = std::chrono::milliseconds(AwaitTimeout).count();
  return ::poll(&it, 1, static_cast<int>(limit)) > 0;
}

} // namespace

RawSocket::~RawSocket() { close(); }

RawSocket::RawSocket(RawSocket &&other) noexcept
    : Handle(std::exchange(other.Handle, -1)) {}

RawSocket &RawSocket::operator=(RawSocket &&other) noexcept {
  close();
  Handle = std::exchange(other.Handle, -1);
  return *this;
}

RawSocket RawSocket::connect(const std::string &address, std::uint16_t port) {
  RawSocket it(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in target = endpoint(address, port);
  if (::connect(it.Handle, reinterpret_cast<const sockaddr *>(&target),
                sizeof(target)) != 0)
    it.close();
  return it;
}

bool RawSocket::send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const auto n = ::send(Handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

std::string RawSocket::receiveUntil(std::string_view mark) const {
  std::string bytes;
  bool closed = false;
  while (bytes.find(mark) == std::string::npos)
    if (!receiveSome(bytes, closed))
      break;
  return bytes;
}

std::string RawSocket::receiveAll(bool &closed) const {
  std::string bytes;
  closed = false;
  while (receiveSome(bytes, closed)) {
  }
  return bytes;
}

bool RawSocket::receiveSome(std::string &bytes, bool &closed) const {
  if (!readable(Handle))
    return false;
  std::array<char, 4096> buf = {};
  const auto n = ::recv(Handle, buf.data(), buf.size(), 0);
  closed = n <= 0;
  if (!closed)
    bytes.append(buf.data(), static_cast<std::size_t>(n));
  return !closed;
}

void RawSocket::close() {
  if (Handle >= 0)
    ::close(std::exchange(Handle, -1));
}

RawListener::RawListener(const std::string &address, std::uint16_t port)
    : Handle(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int yes = 1;
  ::setsockopt(Handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in local = endpoint(address, port);
  if (::bind(Handle, reinterpret_cast<const sockaddr *>(&local),
             sizeof(local)) != 0 ||
      ::listen(Handle, SOMAXCONN) != 0)
    throw std::system_error(errno, std::generic_category(), "listen");
}

RawListener::~RawListener() { ::close(Handle); }

RawSocket RawListener::accept() const {
  if (!readable(Handle))
    return {};
  return RawSocket(::accept4(Handle, nullptr, nullptr, SOCK_CLOEXEC));
}

} // namespace cowslipridge::support
