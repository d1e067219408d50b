#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/rpc/Messages.hpp"

#include <functional>

namespace cowslipridge::rpc {

/// The state of a process's own configuration.
struct ConfigurationState {
  core::Generation Number;
  core::Millis Age;   ///< since it was last confirmed as newest
  bool Stale = false; ///< no recent confirmation
};

/// Callbacks through which the peer-to-peer messages read and update the
/// process's configuration. All functions must be set. They are called on the
/// event loop's thread and must not block.
struct ConfigurationPort {
  /// Returns the current state.
  std::function<ConfigurationState()> State;
  /// Returns the bundle in force, to be sent to a peer that fetches it.
  std::function<BundleContent()> Bundle;
  /// Handles the status in a message from `peer` that was sent after
  /// `sentAfter` (monotonic clock).
  std::function<void(const PeerStatus &peer, core::Millis sentAfter)> OnPeer;
  /// Handles a newer bundle offered by a peer.
  std::function<void(const core::InstanceId &peer, BundleContent content)>
      OnOffer;
};

} // namespace cowslipridge::rpc
