#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::platform::internal {

inline std::string makeKey(std::string_view prefix, const std::string &name) {
  return std::string(prefix) + name;
}

/// Returns the part of `key` after `prefix`; nothing if `key` does not start
/// with it.
inline std::optional<std::string> stripPrefix(std::string_view prefix,
                                              const std::string &key) {
  if (!key.starts_with(prefix))
    return std::nullopt;
  return key.substr(prefix.size());
}

} // namespace cowslipridge::platform::internal
