#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/config/FollowerStateMachine.hpp"
#include "cowslipridge/core/Clock.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cowslipridge::observe {
class EventLog;
} // namespace cowslipridge::observe

namespace cowslipridge::config {

/// Callbacks through which a follower uses its process.
struct FollowerHooks {
  /// Fetches the bundle of `peer` (its Follower::encodedBundle()) and calls
  /// `done` once.
  std::function<void(const core::InstanceId &peer,
                     std::function<void(core::Result<std::string>)> done)>
      FetchFromPeer;
  /// Called for each configuration that takes effect, in rising order of
  /// generation, one call at a time. Must not call tick() or onPeerReport() of
  /// the same follower.
  std::function<void(std::shared_ptr<const Bundle> bundle)> OnInForce;
};

/// Runs a FollowerStateMachine with I/O: keeps one process on the newest
/// configuration that the store or any peer has. Thread-safe; never blocks.
class Follower {
public:
  Follower(FollowerSettings settings, const core::InstanceId &self,
           std::shared_ptr<backing::Store> store, const core::Clock &clock,
           observe::EventLog &events, FollowerHooks hooks);
  ~Follower();
  Follower(const Follower &) = delete;
  Follower &operator=(const Follower &) = delete;

  /// Must be called at least every 250 ms, from the start of the process on.
  void tick();
  /// Starts no callback after it has returned; one in progress may finish.
  void stop();
  /// Handles the configuration that `peer` reported with a message. The caller
  /// sends generation() and age() with every message, so that peers can detect
  /// a newer configuration here.
  void onPeerReport(const core::InstanceId &peer,
                    const PeerConfiguration &report);
  /// Sets the number of processes in the fleet, which determines whether this
  /// one watches the store.
  void setFleetSize(std::size_t size);

  /// Returns null until a first configuration is in force.
  [[nodiscard]] std::shared_ptr<const Bundle> inForce() const;
  [[nodiscard]] core::Generation generation() const;
  /// Returns the time since the configuration was last confirmed as the newest.
  [[nodiscard]] core::Millis age() const;
  /// Returns true when neither the store nor a peer has confirmed the
  /// configuration within FollowerSettings::StaleAfter. A process with a stale
  /// configuration keeps serving, but starts no session on a version under
  /// trial.
  [[nodiscard]] bool stale() const;
  /// Returns the bundle in force as text, for a peer that fetches it; empty
  /// until a first configuration is in force.
  [[nodiscard]] std::string encodedBundle() const;

private:
  class Impl;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::config
