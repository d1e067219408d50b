#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/rpc/Messages.hpp"

#include <functional>

namespace cowslipridge::rpc {

/// What a process knows of its own configuration.
struct ConfigurationState {
  core::Generation Number;
  core::Millis Age;   ///< since it was known to be the newest
  bool Stale = false; ///< nothing has confirmed it lately
};

/// Connects the messages between peers to the process's configuration. All
/// functions must be set; they are called on the loop's thread and never
/// block.
struct ConfigurationPort {
  std::function<ConfigurationState()> State;
  /// The bundle in force, for a peer that asks.
  std::function<BundleContent()> Bundle;
  /// A message from `peer` that was sent after `sentAfter` (monotonic).
  std::function<void(const PeerStatus &peer, core::Millis sentAfter)> OnPeer;
  /// A peer hands its newer bundle over.
  std::function<void(const core::InstanceId &peer, BundleContent content)>
      OnOffer;
};

} // namespace cowslipridge::rpc
