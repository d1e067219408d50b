#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/http/internal/BaseUrl.hpp"
#include "cowslipridge/http1/Client.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <system_error>
#include <vector>

namespace cowslipridge::http::internal {

/// Returns the event loop of all clients of this process. It runs on a thread
/// of its own until the process ends.
boost::asio::io_context &clientLoop();

/// The connections of one client to its server. Used on clientLoop() only.
class ServerConnections {
public:
  using Endpoints = std::vector<http1::Endpoint>;

  /// The last owner may be on any thread.
  static std::shared_ptr<ServerConnections> create(BaseUrl base,
                                                   core::Millis timeout);

  [[nodiscard]] const BaseUrl &base() const { return Base; }
  /// Returns the limit on the time without a byte of a response.
  [[nodiscard]] core::Millis timeout() const { return Timeout; }
  /// Calls `onDone` with the addresses of the server, or with an error.
  void resolve(
      std::function<void(std::error_code ec, const Endpoints &)> onDone) const;
  /// Returns the client whose connections are used again, or the one that opens
  /// a connection for each call.
  http1::Client &client(bool reusesConnections) {
    return reusesConnections ? Reusing : Single;
  }

private:
  ServerConnections(BaseUrl base, core::Millis timeout);

  const BaseUrl Base;
  const core::Millis Timeout;
  core::SystemClock Clock;
  http1::Client Reusing;
  http1::Client Single;
};

} // namespace cowslipridge::http::internal
