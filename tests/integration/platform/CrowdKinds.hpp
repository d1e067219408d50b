#pragma once

#include "integration/support/Crowd.hpp"

#include <cstddef>
#include <span>
#include <string>

namespace cowslipridge::integration {

/// Where the requests of a crowd go.
struct CrowdTarget {
  std::string Path;
  std::string Host;
  std::string Key;
};

/// The limits that a crowd's requests keep to, or exceed.
inline constexpr std::size_t CrowdMaxHeaderBytes = 64UL * 1024;
inline constexpr std::size_t CrowdMaxBodyBytes = 1024UL * 1024;

/// A kind of clients that do not keep to the limits.
struct CrowdKind {
  const char *Name;
  std::size_t Clients; ///< of a crowd
  ClientScript (*Script)(const CrowdTarget &target);
};

[[nodiscard]] std::span<const CrowdKind> crowdKinds();

/// Returns the field that states the length of a body.
std::string lengthField(std::size_t bytes);
/// Returns a request whose body lacks its last byte.
std::string cutRequest(const CrowdTarget &target, std::size_t bytes);
/// Returns a request with a body in chunks that does not end.
std::string chunksWithoutEnd(const CrowdTarget &target, std::size_t bytes);

} // namespace cowslipridge::integration
