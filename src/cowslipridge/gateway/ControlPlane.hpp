#pragma once

#include "cowslipridge/catalogue/CatalogueIndex.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/limits/RetryWindow.hpp"
#include "cowslipridge/limits/TraitQuarantine.hpp"
#include "cowslipridge/membership/BackendServer.hpp"
#include "cowslipridge/rollout/RolloutCommand.hpp"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// The daemon that forwards callers' requests directly to runners.
namespace cowslipridge::gateway {

/// The registration of another gateway.
struct Peer {
  core::InstanceId Name;
  std::string Host; ///< numeric IP address that receives peer reports
  std::uint16_t Port = 0;
  core::FailureDomainId Domain{}; ///< empty: not announced
  /// Version of the datagrams that it understands; 0: plain reports only.
  unsigned Protocol = 0;
  friend auto operator<=>(const Peer &, const Peer &) = default;
};

// Events that the control plane reports to a gateway.

struct CatalogueChanged {
  catalogue::CataloguePtr Catalogue;
};
/// A configuration, or a part of it, can't be parsed.
struct CatalogueRefused {
  std::string Problem;
};
/// A store entry of another writer can't be parsed and is ignored.
struct EntryRefused {
  std::string Key;
};
struct ServerChanged {
  membership::BackendServer Server;
};
struct ServerRemoved {
  core::RunnerId Server;
};
/// The complete list of servers, sent after individual changes were missed.
struct ServersListed {
  std::vector<membership::BackendServer> Servers;
  /// The store was restored from an older copy: the list may lack runners that
  /// have not registered again yet, and hold entries that were replaced since.
  bool AfterRestore = false;
};
/// An operator evacuates a failure domain: its runners get nothing new.
struct EvacuationChanged {
  core::FailureDomainId Domain;
};
struct EvacuationWithdrawn {
  core::FailureDomainId Domain;
};
/// The complete list of evacuated failure domains, sent after individual
/// changes were missed.
struct EvacuationsListed {
  std::set<core::FailureDomainId> Domains;
  bool AfterRestore = false; ///< the store was restored from an older copy
};
struct RolloutCommandChanged {
  rollout::RolloutCommand Command;
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
/// The complete list of roll-outs, sent after individual changes were missed.
struct RolloutsListed {
  rollout::RolloutList Rollouts;
};
struct PeerChanged {
  Peer Gateway;
};
struct PeerRemoved {
  core::InstanceId Name;
};
/// This gateway was registered, its registration was renewed, or it has ended.
struct RegistrationChanged {
  limits::Registration Current;
};
/// A gateway has quarantined a trait of requests.
struct QuarantineReported {
  limits::QuarantinedTrait Quarantined;
};
/// The store does not respond; the last known state stays in force.
struct ControlPlaneUnavailable {
  std::string Reason;
};
struct ControlPlaneAvailable {};
/// The store came back as an older copy: it has lost the latest changes.
/// Operators and runners write theirs again; gateways must do the same.
struct ControlPlaneRestored {};

using ControlEvent =
    std::variant<CatalogueChanged, CatalogueRefused, EntryRefused,
                 ServerChanged, ServerRemoved, ServersListed, EvacuationChanged,
                 EvacuationWithdrawn, EvacuationsListed, RolloutCommandChanged,
                 RolloutWithdrawn, RolloutStatusChanged, RolloutProgressChanged,
                 RolloutsListed, PeerChanged, PeerRemoved, RegistrationChanged,
                 QuarantineReported, ControlPlaneUnavailable,
                 ControlPlaneAvailable, ControlPlaneRestored>;

/// Interface to the store that operators and runners write to.
class ControlPlane {
public:
  using Listener = std::function<void(const ControlEvent &)>;

  virtual ~ControlPlane() = default;
  /// Registers this gateway as `self`, reads the current state, then reports
  /// every change. `onSynced` is called once the initial state is reported.
  virtual void start(Peer self, Listener listener,
                     std::function<void()> onSynced) = 0;
  /// Writes both records if neither has changed since this gateway last read
  /// them. A failed write is not retried: the next change that the store
  /// reports shows the current state.
  virtual void advance(const rollout::RolloutStatus &status,
                       const rollout::RolloutProgress &progress) = 0;
  /// Writes a quarantine that this gateway decided on to the store, for
  /// gateways that start later.
  virtual void recordQuarantine(const limits::QuarantinedTrait &trait) = 0;
  /// Returns whether the store has answered any call since the start.
  [[nodiscard]] virtual bool hasStoreResponded() const = 0;
  /// Removes the registration of this gateway.
  virtual void deregister() = 0;
  /// Returns the state known to this gateway, for a peer that can't reach the
  /// store; nothing before the first read has completed.
  [[nodiscard]] virtual std::optional<std::string> snapshot() const = 0;
  /// Uses a peer's snapshot in place of the first read; later, only the
  /// configuration in it is reported. Returns false when the snapshot can't be
  /// parsed or holds nothing of use.
  virtual bool adopt(const std::string &snapshot) = 0;
};

} // namespace cowslipridge::gateway
