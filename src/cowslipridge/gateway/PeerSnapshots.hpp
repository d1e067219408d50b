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

/// Serves this gateway's state to its peers, and fetches theirs when this
/// gateway starts while the store is unavailable.
///
/// A gateway that is killed and restarted during a store outage finds no
/// configuration. Its peers keep sending it reports, and each report shows the
/// address of a peer that can be queried.
class PeerSnapshots {
public:
  /// `onAdopted` is called for each snapshot that was adopted, with the address
  /// of the peer.
  PeerSnapshots(boost::asio::io_context &loop, const core::Clock &clock,
                ControlPlane &control,
                std::function<void(const http1::Endpoint &)> onAdopted);

  /// Throws boost::system::system_error when the address can't be bound.
  void listen(const http1::Endpoint &address);
  /// Fetches the snapshot of `peer`, unless a fetch is in progress.
  void fetch(const http1::Endpoint &peer);
  [[nodiscard]] bool isFetching() const { return PendingFetch != nullptr; }
  void stop();

private:
  void onSnapshotRequest(http1::Exchange &exchange);

  ControlPlane &Control;
  std::function<void(const http1::Endpoint &)> OnAdopted;
  http1::Server Server;
  http1::Client Calls;
  std::shared_ptr<http1::Call> PendingFetch;
};

} // namespace cowslipridge::gateway
