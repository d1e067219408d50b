#pragma once

#include "cowslipridge/catalogue/CatalogueIndex.hpp"

#include <memory>

namespace cowslipridge::support {

inline const core::ServiceId PlainService("desk");

/// Returns a configuration with one route of idempotent requests, to a plain
/// service.
inline catalogue::CataloguePtr plainCatalogue() {
  catalogue::Catalogue declared;
  catalogue::Route route;
  route.Name = "lookup";
  route.Kind = catalogue::RouteKind::Idempotent;
  route.Timeout = core::Millis(1'500);
  route.TargetLatency = core::Millis(100);
  route.MaxAttempts = 3;
  route.Services = {{PlainService, 1}};
  declared.Routes = {route};
  catalogue::Service service;
  service.Name = PlainService;
  declared.Services = {service};
  return std::make_shared<const catalogue::CatalogueIndex>(declared);
}

} // namespace cowslipridge::support
