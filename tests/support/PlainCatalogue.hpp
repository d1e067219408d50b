#pragma once

#include "support/SingleRouteCatalogue.hpp"

namespace cowslipridge::support {

inline const core::ServiceId PlainService("desk");

/// Returns a configuration with one route of idempotent requests, to a plain
/// service.
inline catalogue::CataloguePtr plainCatalogue() {
  catalogue::Route route;
  route.Name = "lookup";
  route.Kind = catalogue::RouteKind::Idempotent;
  route.Timeout = core::Millis(1'500);
  route.TargetLatency = core::Millis(100);
  route.MaxAttempts = 3;
  catalogue::Service service;
  service.Name = PlainService;
  return singleRouteCatalogue(route, service);
}

} // namespace cowslipridge::support
