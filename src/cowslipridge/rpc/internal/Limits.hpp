#pragma once

#include "cowslipridge/core/Result.hpp"

#include <capnp/message.h>
#include <kj/async-io.h>

#include <sys/socket.h>

#include <cstdint>
#include <string>

namespace cowslipridge::rpc {

/// Largest accepted message, in words of 8 bytes. It must hold the largest body
/// and its envelope.
constexpr std::uint64_t MaxMessageWords = 3ULL * 1024 * 1024;
/// Flow limit of one connection: total size, in words of 8 bytes, of the calls
/// that a peer may have in progress.
constexpr std::size_t MaxCallWordsInFlight = 4ULL * 1024 * 1024;

capnp::ReaderOptions readerOptions();

struct SocketAddress {
  sockaddr_storage Storage{};
  unsigned Size = 0;
};

/// Parses an IPv4 or IPv6 address. Host names are never resolved.
core::Result<SocketAddress> toSocketAddress(const std::string &ip,
                                            std::uint16_t port);
/// Returns `IP:port` for log messages.
std::string toText(const sockaddr_storage &address);
/// Sets TCP_NODELAY, so that small messages are sent without delay.
void disableNagle(kj::AsyncIoStream &stream);

} // namespace cowslipridge::rpc
