#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/gateway/Dispatcher.hpp"

#include <string>
#include <string_view>

namespace cowslipridge::gateway {

/// Encodes a report as one datagram in MessagePack.
std::string encodePeerReport(const PeerReport &report);
/// Returns the report, or Errc::Malformed for a datagram that can't be decoded
/// or that has another format version.
core::Result<PeerReport> decodePeerReport(std::string_view bytes);

} // namespace cowslipridge::gateway
