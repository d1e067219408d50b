#pragma once

#include "cowslipridge/core/Result.hpp"

#include <string>

namespace cowslipridge::http::internal {

/// The parts of a URL such as `http://127.0.0.1:8500/prefix`.
struct BaseUrl {
  std::string Host; ///< a name or an address; IPv6 without brackets
  std::string Port = "80";
  std::string Path; ///< without a slash at its end; may be empty

  /// Returns the value of the Host field of a request.
  [[nodiscard]] std::string authority() const;

  friend bool operator==(const BaseUrl &, const BaseUrl &) = default;
};

/// Returns an error if the text is no URL of the scheme `http`.
core::Result<BaseUrl> parseBaseUrl(const std::string &text);

/// Returns whether the text may be the target of a request: a path, with or
/// without a query, in visible characters.
bool isTarget(const std::string &text);

} // namespace cowslipridge::http::internal
