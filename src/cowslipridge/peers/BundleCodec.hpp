#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/peers/Bundle.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::peers {

/// Size from which a bundle is split. A UDP datagram holds at most 65,507
/// bytes.
inline constexpr std::size_t MaxDatagram = 60'000;

/// Encodes a bundle as MessagePack datagrams, each of at most MaxDatagram bytes
/// unless a single report is larger.
std::vector<std::string> encodeBundle(const Bundle &bundle);
/// Returns whether a datagram begins as a bundle does, rather than as a plain
/// report.
bool isBundle(std::string_view bytes);
/// Returns the bundle, or Errc::Malformed for a datagram that can't be decoded
/// or that has another format, such as a plain report.
core::Result<Bundle> decodeBundle(std::string_view bytes);

} // namespace cowslipridge::peers
