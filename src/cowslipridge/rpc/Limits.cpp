#include "cowslipridge/rpc/internal/Limits.hpp"

#include "cowslipridge/core/Error.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <cstring>

namespace cowslipridge::rpc {

capnp::ReaderOptions readerOptions() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = MaxMessageWords;
  return options;
}

core::Result<SocketAddress> toSocketAddress(const std::string &ip,
                                            std::uint16_t port) {
  SocketAddress address;
  sockaddr_in v4{};
  if (inet_pton(AF_INET, ip.c_str(), &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    v4.sin_port = htons(port);
    std::memcpy(&address.Storage, &v4, sizeof(v4));
    address.Size = sizeof(v4);
    return address;
  }
  sockaddr_in6 v6{};
  if (inet_pton(AF_INET6, ip.c_str(), &v6.sin6_addr) == 1) {
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(port);
    std::memcpy(&address.Storage, &v6, sizeof(v6));
    address.Size = sizeof(v6);
    return address;
  }
  return core::Errc::Malformed;
}

std::string toText(const sockaddr_storage &address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address.ss_family == AF_INET) {
    sockaddr_in v4{};
    std::memcpy(&v4, &address, sizeof(v4));
    inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(v4.sin_port));
  }
  sockaddr_in6 v6{};
  std::memcpy(&v6, &address, sizeof(v6));
  inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
  return std::string(text.data()) + ":" + std::to_string(ntohs(v6.sin6_port));
}

void disableNagle(kj::AsyncIoStream &stream) {
  const int on = 1;
  stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace cowslipridge::rpc
