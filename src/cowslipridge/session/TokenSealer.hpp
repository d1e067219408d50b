#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Result.hpp"

#include <compare>
#include <string>
#include <string_view>

/// Session tokens: what pins a conversation to its version without a store.
namespace cowslipridge::session {

/// What a token says.
struct SessionInfo {
  core::SessionId Session;
  core::OrganisationId Organisation;
  core::ServiceId Service;
  core::VersionId Version;
  core::Millis StartedAt; ///< wall time
  friend auto operator<=>(const SessionInfo &, const SessionInfo &) = default;
};

/// Seals and opens tokens with AES-256-GCM.
class TokenSealer {
public:
  /// `key` holds 32 bytes; any other length throws std::invalid_argument.
  explicit TokenSealer(std::string key);
  /// The token's text, URL-safe.
  [[nodiscard]] std::string seal(const SessionInfo &facts) const;
  /// The facts, or Errc::InvalidSession for a forged or damaged token.
  [[nodiscard]] core::Result<SessionInfo> open(std::string_view token) const;

private:
  std::string Key;
};

} // namespace cowslipridge::session
