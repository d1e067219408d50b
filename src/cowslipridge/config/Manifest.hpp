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

/// The content of one service that is in force, and who published it.
struct ManifestEntry {
  std::string Content; ///< content hash; empty when the service was removed
  core::Generation ChangedAt;
  std::string Publisher;   ///< the operator's name, for display
  std::string Publication; ///< unique to one run of the publisher

  friend auto operator<=>(const ManifestEntry &,
                          const ManifestEntry &) = default;
};

/// The value in the store whose compare-and-swap puts a configuration in force.
struct Manifest {
  core::Generation Number;
  std::map<core::ServiceId, ManifestEntry> Services;
  /// Contents that no service uses any longer; the next publisher deletes them.
  std::vector<std::string> Retired;

  friend auto operator<=>(const Manifest &, const Manifest &) = default;
};

std::string encodeManifest(const Manifest &manifest);
/// Returns Errc::InvalidConfig when `text` is not a valid manifest.
core::Result<Manifest> decodeManifest(std::string_view text);

/// Immutable content of one service. It includes the publication's id, so that
/// no two publications share a content and an unused one can be deleted.
struct ServiceContent {
  std::string Publication;
  ServiceDeclaration Service;

  friend auto operator<=>(const ServiceContent &,
                          const ServiceContent &) = default;
};

std::string encodeContent(const ServiceContent &content);
/// Returns Errc::InvalidConfig when `text` is not a valid content.
core::Result<ServiceContent> decodeContent(std::string_view text);

/// Key of the manifest in the store.
inline constexpr std::string_view ManifestKey = "cowslipridge/config/manifest";
/// Returns the key in the store of the content with this hash.
std::string contentKey(std::string_view hash);

} // namespace cowslipridge::config
