#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/http/Message.hpp"

#include <optional>
#include <string>
#include <string_view>

/// The caller-facing side of the router: authentication, planning, forwarding
/// and responses.
namespace cowslipridge::entry {

/// Returns the SHA-256 digest of `text` in lower-case hex.
std::string sha256Hex(std::string_view text);

/// Returns the key of an `Authorization: Bearer` header.
std::optional<std::string> findBearerKey(const http::Headers &fields);

/// Returns the organisation of one service that a key belongs to. Fails with
/// Errc::Unauthenticated for a missing key or a key of no service, and with
/// Errc::NotAllowed for a key of another service's organisation.
core::Result<core::OrganisationId>
authenticate(const config::Bundle &bundle,
             const config::ServiceDeclaration &service,
             const http::Headers &fields);

/// Returns true if any organisation of any service has this key.
bool isKnownKey(const config::Bundle &bundle, const http::Headers &fields);

} // namespace cowslipridge::entry
