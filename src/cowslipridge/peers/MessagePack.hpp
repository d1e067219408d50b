#pragma once

#include "cowslipridge/core/Result.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace cowslipridge::peers {

/// Deepest nesting of arrays and objects in a datagram. The library's parser
/// recurses for each level: 64 kB of array headers overflow a stack of 2 MB.
inline constexpr std::size_t MaxNesting = 16;

/// Parses a datagram of another gateway. Returns Errc::Malformed if it is no
/// MessagePack value, or nested more deeply than MaxNesting.
core::Result<nlohmann::json> parseMessagePack(std::string_view bytes);

} // namespace cowslipridge::peers
