#pragma once

#include <cpprest/http_client.h>

#include <atomic>

namespace cowslipridge::http::internal {

/// A client of cpprestsdk and what its exchanges learned about its connections.
struct PooledClient {
  PooledClient(const web::uri &base,
               const web::http::client::http_client_config &config)
      : Wire(base, config) {}

  web::http::client::http_client Wire;
  /// Set by the first response: the pool may hold a connection from then on.
  std::atomic<bool> MayReuse = false;
  /// Set by a failure to connect. A new client then has an empty pool, so that
  /// it can tell again whether a request was sent.
  std::atomic<bool> Unreachable = false;
};

} // namespace cowslipridge::http::internal
