#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/gateway/Dispatcher.hpp"

#include <string>
#include <string_view>

namespace cowslipridge::gateway {

/// One datagram, in MessagePack.
std::string encodePeerReport(const PeerReport &report);
core::Result<PeerReport> decodePeerReport(std::string_view bytes);

} // namespace cowslipridge::gateway
