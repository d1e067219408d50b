#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/http/Message.hpp"

#include <optional>
#include <string>
#include <string_view>

/// What the callers meet: authentication, planning, forwarding, answers.
namespace cowslipridge::entry {

/// SHA-256 in lower-case hex.
std::string sha256Hex(std::string_view text);

/// The key of an `Authorization: Bearer` header.
std::optional<std::string> findBearerKey(const http::Headers &fields);

/// The organisation that a key belongs to within one service:
/// Errc::Unauthenticated for a key that no service knows, Errc::NotAllowed for
/// a key of another service's organisation.
core::Result<core::OrganisationId>
authenticate(const config::Bundle &bundle,
             const config::ServiceDeclaration &service,
             const http::Headers &fields);

/// True when any organisation of any service has this key.
bool isKnownKey(const config::Bundle &bundle, const http::Headers &fields);

} // namespace cowslipridge::entry
