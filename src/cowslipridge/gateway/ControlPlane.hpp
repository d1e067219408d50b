#pragma once

#include "cowslipridge/catalogue/CatalogueIndex.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/membership/BackendServer.hpp"
#include "cowslipridge/rollout/RolloutOrder.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

/// The daemon that relays callers' requests straight to runners.
namespace cowslipridge::gateway {

/// Another gateway, as it registered itself.
struct Peer {
  core::InstanceId Name;
  std::string Host; ///< numeric; takes datagrams
  std::uint16_t Port = 0;
  friend auto operator<=>(const Peer &, const Peer &) = default;
};

// What a gateway learns from the control plane.
struct CatalogueChanged {
  catalogue::CataloguePtr Catalogue;
};
/// Parts of a configuration, or all of it, can't be read.
struct CatalogueRefused {
  std::string Problem;
};
/// An entry of another writer can't be read and is passed over.
struct EntryRefused {
  std::string Key;
};
struct ServerChanged {
  membership::BackendServer Server;
};
struct ServerRemoved {
  core::RunnerId Server;
};
/// The whole list, after the changes in between were missed.
struct ServersListed {
  std::vector<membership::BackendServer> Servers;
};
struct RolloutOrdered {
  rollout::RolloutOrder Order;
};
struct RolloutWithdrawn {
  core::ServiceId Service;
};
struct RolloutStatusChanged {
  rollout::RolloutStatus Status;
};
struct RolloutProgressChanged {
  rollout::RolloutProgress Progress;
};
struct PeerChanged {
  Peer Gateway;
};
struct PeerRemoved {
  core::InstanceId Name;
};
/// The store does not answer; what was learnt stays in force.
struct ControlPlaneUnavailable {
  std::string Reason;
};
struct ControlPlaneAvailable {};

using ControlEvent =
    std::variant<CatalogueChanged, CatalogueRefused, EntryRefused,
                 ServerChanged, ServerRemoved, ServersListed, RolloutOrdered,
                 RolloutWithdrawn, RolloutStatusChanged, RolloutProgressChanged,
                 PeerChanged, PeerRemoved, ControlPlaneUnavailable,
                 ControlPlaneAvailable>;

/// Port to the store that operators and runners write to.
class ControlPlane {
public:
  using Listener = std::function<void(const ControlEvent &)>;

  virtual ~ControlPlane() = default;
  /// Reads what there is, then reports every change; all of the first read
  /// before `onSynced`. Registers this gateway as `self`.
  virtual void start(Peer self, Listener listener,
                     std::function<void()> onSynced) = 0;
  /// Writes both if nobody has written either since this gateway last heard of
  /// them. Lost calls are not repeated: the next change tells what holds.
  virtual void advance(const rollout::RolloutStatus &status,
                       const rollout::RolloutProgress &progress) = 0;
  /// Whether the store has answered any call since the start.
  [[nodiscard]] virtual bool hasStoreResponded() const = 0;
  /// Ends the registration.
  virtual void deregister() = 0;
  /// What this gateway knows, for another that can't reach the store; nothing
  /// before the first read.
  [[nodiscard]] virtual std::optional<std::string> snapshot() const = 0;
  /// Takes another gateway's snapshot in place of the first read. False when it
  /// can't be read or the store has answered since.
  virtual bool adopt(const std::string &snapshot) = 0;
};

} // namespace cowslipridge::gateway
