#pragma once

#include "cowslipridge/catalogue/Catalogue.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cowslipridge::catalogue {

/// An immutable catalogue with indexes for the look-ups of each request. A
/// request uses the same index from start to end.
class CatalogueIndex {
public:
  explicit CatalogueIndex(Catalogue catalogue);
  CatalogueIndex(const CatalogueIndex &) = delete;
  CatalogueIndex &operator=(const CatalogueIndex &) = delete;

  [[nodiscard]] const Catalogue &catalogue() const { return Declared; }
  /// Returns the route of the host with the longest path prefix that matches;
  /// null when there is none. A port in `host` is ignored.
  [[nodiscard]] const Route *route(std::string_view host,
                                   std::string_view path) const;
  [[nodiscard]] const Service *service(const core::ServiceId &name) const;
  /// Returns the organisation with this API key; null when there is none.
  [[nodiscard]] const Organisation *
  findOrganisation(std::string_view key) const;

private:
  Catalogue Declared;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
  std::unordered_map<core::ServiceId, const Service *> ByService;
  std::unordered_map<std::string, const Organisation *> ByKey;
};

/// Numbers of API keys that differ between two catalogues.
struct KeyChanges {
  std::size_t Total = 0; ///< keys in the newer catalogue
  std::size_t Added = 0;
  std::size_t Removed = 0;
  friend auto operator<=>(const KeyChanges &, const KeyChanges &) = default;
};
KeyChanges compareKeys(const Catalogue &older, const Catalogue &newer);

using CataloguePtr = std::shared_ptr<const CatalogueIndex>;

} // namespace cowslipridge::catalogue
