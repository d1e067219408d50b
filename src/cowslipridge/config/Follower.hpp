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

/// What a follower needs of its process.
struct FollowerHooks {
  /// Asks `peer` for its bundle (Follower::encoded() over there) and calls
  /// `done` once.
  std::function<void(const core::InstanceId &peer,
                     std::function<void(core::Result<std::string>)> done)>
      FetchFromPeer;
  /// Told of each configuration that takes effect, in rising order, one at a
  /// time. Must not call tick() or onPeerReport() of the same follower.
  std::function<void(std::shared_ptr<const Bundle> bundle)> OnInForce;
};

/// Shell around FollowerStateMachine: keeps one process on the newest
/// configuration that the store or any peer has. Thread-safe; never blocks.
class Follower {
public:
  Follower(FollowerSettings settings, const core::InstanceId &self,
           std::shared_ptr<backing::Store> store, const core::Clock &clock,
           observe::EventLog &events, FollowerHooks hooks);
  ~Follower();
  Follower(const Follower &) = delete;
  Follower &operator=(const Follower &) = delete;

  /// Call it at least every 250 ms, from the start of the process on.
  void tick();
  /// No callback begins after stop() has returned, except one under way.
  void stop();
  /// A message from `peer` arrived. Send generation() and age() with every
  /// message, so that others can learn from this process.
  void onPeerReport(const core::InstanceId &peer, const PeerConfiguration &its);
  /// Processes in the fleet; decides whether this one watches the store.
  void setFleetSize(std::size_t size);

  /// Null until a first configuration is in force.
  [[nodiscard]] std::shared_ptr<const Bundle> inForce() const;
  [[nodiscard]] core::Generation generation() const;
  /// How long ago the configuration was known to be the newest.
  [[nodiscard]] core::Millis age() const;
  /// True when neither the store nor a peer has confirmed the configuration
  /// lately: serve on, but start no session on a version under trial.
  [[nodiscard]] bool stale() const;
  /// The bundle in force as text, for a peer that asks; empty before there is
  /// one.
  [[nodiscard]] std::string encodedBundle() const;

private:
  class Impl;
  std::shared_ptr<Impl> Internals;
};

} // namespace cowslipridge::config
