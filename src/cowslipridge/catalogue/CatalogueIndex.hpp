#pragma once

#include "cowslipridge/catalogue/Catalogue.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cowslipridge::catalogue {

/// An immutable catalogue with the look-ups that each request needs. Requests
/// keep the index that they began with.
class CatalogueIndex {
public:
  explicit CatalogueIndex(Catalogue catalogue);
  CatalogueIndex(const CatalogueIndex &) = delete;
  CatalogueIndex &operator=(const CatalogueIndex &) = delete;

  [[nodiscard]] const Catalogue &catalogue() const { return Declared; }
  /// The route of this host with the longest prefix that begins the path; null
  /// when there is none. A port in `host` is ignored.
  [[nodiscard]] const Route *route(std::string_view host,
                                   std::string_view path) const;
  [[nodiscard]] const Service *service(const core::ServiceId &name) const;
  /// The organisation that holds this key; null when nobody does.
  [[nodiscard]] const Organisation *
  findOrganisation(std::string_view key) const;

private:
  Catalogue Declared;
  /// Of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
  std::unordered_map<core::ServiceId, const Service *> ByService;
  std::unordered_map<std::string, const Organisation *> ByKey;
};

/// How the keys of callers differ between two catalogues.
struct KeyChanges {
  std::size_t Total = 0; ///< in the newer one
  std::size_t Added = 0;
  std::size_t Removed = 0;
  friend auto operator<=>(const KeyChanges &, const KeyChanges &) = default;
};
KeyChanges compareKeys(const Catalogue &older, const Catalogue &newer);

using CataloguePtr = std::shared_ptr<const CatalogueIndex>;

} // namespace cowslipridge::catalogue
