#pragma once

#include "cowslipridge/catalogue/CatalogueIndex.hpp"

#include <memory>

namespace cowslipridge::support {

/// Returns a configuration with this route to this service alone.
inline catalogue::CataloguePtr
singleRouteCatalogue(catalogue::Route route,
                     const catalogue::Service &service) {
  route.Services = {{service.Name, 1}};
  catalogue::Catalogue declared;
  declared.Routes = {route};
  declared.Services = {service};
  return std::make_shared<const catalogue::CatalogueIndex>(declared);
}

} // namespace cowslipridge::support
