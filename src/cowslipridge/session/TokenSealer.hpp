#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Result.hpp"

#include <compare>
#include <string>
#include <string_view>

/// Session tokens, which pin a conversation to its version without a store.
namespace cowslipridge::session {

/// The contents of a token.
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
  /// Throws std::invalid_argument unless `key` has 32 bytes.
  explicit TokenSealer(std::string key);
  /// Returns the token as URL-safe text.
  [[nodiscard]] std::string seal(const SessionInfo &info) const;
  /// Returns the contents, or Errc::InvalidSession for a forged or corrupt
  /// token.
  [[nodiscard]] core::Result<SessionInfo> open(std::string_view token) const;

private:
  std::string Key;
};

} // namespace cowslipridge::session
