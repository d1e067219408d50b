#pragma once

#include "support/SingleRouteCatalogue.hpp"

namespace cowslipridge::support {

inline const core::ServiceId ModelService("llm");

/// Returns a configuration with one route of resumable streams, to a service
/// with a small and a large model.
inline catalogue::CataloguePtr modelCatalogue() {
  catalogue::Route route;
  route.Name = "chat";
  route.Kind = catalogue::RouteKind::ResumableStream;
  route.Timeout = core::Millis(12'000);
  route.TargetLatency = core::Millis(4'000);
  route.MaxAttempts = 3;
  route.Models = {"small", "large"};
  catalogue::Service service;
  service.Name = ModelService;
  service.Inference =
      catalogue::Engine{.Slots = 64,
                        .CacheTokens = 500'000,
                        .TokensPerEvent = 6,
                        .Models = {{"small", 0.01}, {"large", 0.1}}};
  return singleRouteCatalogue(route, service);
}

} // namespace cowslipridge::support
