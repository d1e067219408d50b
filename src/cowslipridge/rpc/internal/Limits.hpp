#pragma once

#include "cowslipridge/core/Result.hpp"

#include <capnp/message.h>
#include <kj/async-io.h>

#include <sys/socket.h>

#include <cstdint>
#include <string>

namespace cowslipridge::rpc {

/// Largest message in words of 8 bytes: the largest body and its envelope.
constexpr std::uint64_t MaxMessageWords = 3ULL * 1024 * 1024;
/// Words of calls that one peer may have in progress here.
constexpr std::size_t MaxCallWordsInFlight = 4ULL * 1024 * 1024;

capnp::ReaderOptions readerOptions();

struct SocketAddress {
  sockaddr_storage Storage{};
  unsigned Size = 0;
};

/// Reads an IP number; names are never resolved.
core::Result<SocketAddress> toSocketAddress(const std::string &ip,
                                            std::uint16_t port);
/// `IP:port` for people.
std::string toText(const sockaddr_storage &address);
/// Sends small messages at once.
void disableNagle(kj::AsyncIoStream &stream);

} // namespace cowslipridge::rpc
