#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Result.hpp"

#include <compare>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::config {

/// Which content of one service is in force, and who put it there.
struct ManifestEntry {
  std::string Content; ///< content hash; empty when the service was removed
  core::Generation ChangedAt;
  std::string Publisher;   ///< the operator's name, for people
  std::string Publication; ///< unique to one run of the publisher

  friend auto operator<=>(const ManifestEntry &,
                          const ManifestEntry &) = default;
};

/// The one small value whose compare-and-swap puts a configuration in force.
struct Manifest {
  core::Generation Number;
  std::map<core::ServiceId, ManifestEntry> Services;
  /// Contents that no service uses any more; the next publisher deletes them.
  std::vector<std::string> Retired;

  friend auto operator<=>(const Manifest &, const Manifest &) = default;
};

std::string encodeManifest(const Manifest &manifest);
/// Errc::InvalidConfig when `text` is no manifest.
core::Result<Manifest> decodeManifest(std::string_view text);

/// Immutable content of one service. The publication's id is part of it, so
/// that no two publications share a content and an unused one can be deleted.
struct ServiceContent {
  std::string Publication;
  ServiceDeclaration Service;

  friend auto operator<=>(const ServiceContent &,
                          const ServiceContent &) = default;
};

std::string encodeContent(const ServiceContent &content);
/// Errc::InvalidConfig when `text` is no content.
core::Result<ServiceContent> decodeContent(std::string_view text);

/// The store's key of the manifest.
inline constexpr std::string_view ManifestKey = "cowslipridge/config/manifest";
/// The store's key of the content with this hash.
std::string contentKey(std::string_view hash);

} // namespace cowslipridge::config
