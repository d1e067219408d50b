#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Result.hpp"

#include <string>
#include <string_view>

namespace cowslipridge::config {

/// One service as JSON text. Equal declarations give equal text, so that its
/// contentHash() identifies the declaration.
std::string encodeService(const ServiceDeclaration &service);
/// Errc::InvalidConfig when `text` is no encoded service.
core::Result<ServiceDeclaration> decodeService(std::string_view text);

/// A whole bundle as JSON text, as peers hand it to each other.
std::string encodeBundle(const Bundle &bundle);
/// Errc::InvalidConfig when `text` is no encoded bundle.
core::Result<Bundle> decodeBundle(std::string_view text);

} // namespace cowslipridge::config
