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
  sockaddr_in result = {};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

bool waitUntilReadable(int descriptor) {
  pollfd request = {descriptor, POLLIN, 0};
  const auto limit = std::chrono::milliseconds(AwaitTimeout).count();
  return ::poll(&request, 1, static_cast<int>(limit)) > 0;
}

} // namespace

RawSocket::~RawSocket() { close(); }

RawSocket::RawSocket(RawSocket &&other) noexcept
    : Descriptor(std::exchange(other.Descriptor, -1)) {}

RawSocket &RawSocket::operator=(RawSocket &&other) noexcept {
  close();
  Descriptor = std::exchange(other.Descriptor, -1);
  return *this;
}

RawSocket RawSocket::connect(const std::string &address, std::uint16_t port) {
  RawSocket result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in target = endpoint(address, port);
  if (::connect(result.Descriptor, reinterpret_cast<const sockaddr *>(&target),
                sizeof(target)) != 0)
    result.close();
  return result;
}

bool RawSocket::send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const auto n = ::send(Descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

std::string RawSocket::receiveUntil(std::string_view delimiter) const {
  std::string bytes;
  bool closed = false;
  while (bytes.find(delimiter) == std::string::npos)
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
  if (!waitUntilReadable(Descriptor))
    return false;
  std::array<char, 4096> buf = {};
  const auto n = ::recv(Descriptor, buf.data(), buf.size(), 0);
  closed = n <= 0;
  if (!closed)
    bytes.append(buf.data(), static_cast<std::size_t>(n));
  return !closed;
}

void RawSocket::close() {
  if (Descriptor >= 0)
    ::close(std::exchange(Descriptor, -1));
}

RawListener::RawListener(const std::string &address, std::uint16_t port)
    : Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int enable = 1;
  ::setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  const sockaddr_in local = endpoint(address, port);
  if (::bind(Descriptor, reinterpret_cast<const sockaddr *>(&local),
             sizeof(local)) != 0 ||
      ::listen(Descriptor, SOMAXCONN) != 0)
    throw std::system_error(errno, std::generic_category(), "listen");
}

RawListener::~RawListener() { ::close(Descriptor); }

RawSocket RawListener::accept() const {
  if (!waitUntilReadable(Descriptor))
    return {};
  return RawSocket(::accept4(Descriptor, nullptr, nullptr, SOCK_CLOEXEC));
}

} // namespace cowslipridge::support
