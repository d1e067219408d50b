#pragma once

#include "cowslipridge/http1/Connection.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace cowslipridge::soak {

/// A TCP link that runs through the fault proxy.
struct Link {
  std::string Name;  ///< of its two ends, for the log
  std::string Owner; ///< name of the gateway or the runner at its one end
  http1::Endpoint Listen;
  http1::Endpoint Target;
};

/// A runner and where it listens.
struct RunnerPlace {
  std::string Id;
  std::string Service;
  bool Streams = false;
  http1::Endpoint Listen;
  http1::Endpoint Control;
  std::size_t Link = 0; ///< over which gateways reach it
};

/// A gateway and where it listens.
struct GatewayPlace {
  std::string Name;
  http1::Endpoint Callers;
  http1::Endpoint Readiness;
  http1::Endpoint Metrics;
  http1::Endpoint Peers;
  std::size_t CallersLink = 0; ///< over which callers reach it
  std::size_t StoreLink = 0;   ///< over which it reaches the store
};

/// How many processes of each kind a run has.
struct LayoutSizes {
  std::size_t Gateways = 3;
  std::size_t ModelRunners = 3;
  std::size_t PlainRunners = 3;
  unsigned MaxAttempts = 2; ///< of each route
};

/// All processes of a run, with addresses that no other test process uses.
struct Layout {
  http1::Endpoint Store;
  http1::Endpoint StoreControl;
  http1::Endpoint ProxyControl;
  std::vector<RunnerPlace> Runners;
  std::vector<GatewayPlace> Gateways;
  std::vector<Link> Links;
  unsigned MaxAttempts = 2; ///< of each route
};

Layout makeLayout(const LayoutSizes &sizes);

/// Returns `ADDRESS:PORT`.
std::string text(const http1::Endpoint &endpoint);
/// Parses `ADDRESS:PORT`; throws std::exception if it is malformed.
http1::Endpoint parseEndpoint(const std::string &text);

} // namespace cowslipridge::soak
