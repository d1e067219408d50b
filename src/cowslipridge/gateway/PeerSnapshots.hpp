#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/gateway/ControlPlane.hpp"
#include "cowslipridge/http1/Client.hpp"
#include "cowslipridge/http1/Server.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace cowslipridge::gateway {

/// Lets a gateway that starts while the store is away learn from the others.
///
/// The pattern it answers: gateways are killed in an outage of the store. They
/// find no configuration, but the others go on sending them reports, and a
/// report shows where its sender is.
class PeerSnapshots {
public:
  /// `adopted` hears of each snapshot that was taken.
  PeerSnapshots(boost::asio::io_context &loop, const core::Clock &clock,
                ControlPlane &control,
                std::function<void(const http1::Endpoint &)> adopted);

  /// Throws boost::system::system_error when the address can't be bound.
  void listen(const http1::Endpoint &address);
  /// Asks this peer what it knows, unless another is being asked.
  void ask(const http1::Endpoint &peer);
  void stop();

private:
  void onCall(http1::Exchange &exchange);

  ControlPlane &Control;
  std::function<void(const http1::Endpoint &)> Adopted;
  http1::Server Server;
  http1::Client Calls;
  std::shared_ptr<http1::Call> Asking;
};

} // namespace cowslipridge::gateway
