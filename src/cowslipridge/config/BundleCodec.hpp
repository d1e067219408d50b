#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Result.hpp"

#include <string>
#include <string_view>

namespace cowslipridge::config {

/// Encodes one service as JSON text. Equal declarations give equal text, so
/// that its contentHash() identifies the declaration.
std::string encodeService(const ServiceDeclaration &service);
/// Returns Errc::InvalidConfig when `text` is not a valid encoded service.
core::Result<ServiceDeclaration> decodeService(std::string_view text);

/// Encodes a complete bundle as JSON text, the form in which peers exchange it.
std::string encodeBundle(const Bundle &bundle);
/// Returns Errc::InvalidConfig when `text` is not a valid encoded bundle.
core::Result<Bundle> decodeBundle(std::string_view text);

} // namespace cowslipridge::config
