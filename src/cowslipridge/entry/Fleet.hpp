#pragma once

#include "cowslipridge/membership/Directory.hpp"
#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/route/Types.hpp"
#include "cowslipridge/rpc/EventLoop.hpp"
#include "cowslipridge/rpc/PeerClient.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowslipridge::entry {

struct FleetSettings {
  core::InstanceId Self;
  std::string FleetKey;
  core::Millis TickInterval{250};
  core::Millis ProbeTimeout{1'000};
};

/// What this entry says of itself to one peer.
using OwnStatusSource =
    std::function<rpc::PeerStatus(const core::InstanceId &peer)>;

/// Hears each status of a sidecar, which was sent after `sentAfter`.
using StatusListener =
    std::function<void(const rpc::PeerStatus &status, core::Millis sentAfter)>;

/// The sidecars that this entry knows: connections and last status of each.
/// Belongs to the loop's thread.
class Fleet final : public std::enable_shared_from_this<Fleet> {
public:
  Fleet(rpc::EventLoop &loop, const core::Clock &time,
        observe::EventLog &events, FleetSettings settings);
  ~Fleet();

  /// What this entry says of itself on each message.
  void setOwnStatus(OwnStatusSource ownStatus);
  [[nodiscard]] rpc::PeerStatus
  ownStatusFor(const core::InstanceId &peer) const;
  /// Called with each status that a sidecar sends.
  void onStatus(StatusListener listener);
  /// Called when a sidecar is suspected to be dead or frozen.
  void onSuspect(std::function<void(const core::InstanceId &)> listener);
  void startTicking();

  void applyInstanceList(const std::vector<backing::InstanceRecord> &records);
  /// Runners that may be given work of `service`.
  [[nodiscard]] std::vector<route::RunnerView>
  views(const core::ServiceId &service) const;
  /// The connection to a sidecar; null when it is not known.
  [[nodiscard]] rpc::PeerClient *client(const core::InstanceId &name);
  [[nodiscard]] const membership::Directory &directory() const {
    return Members;
  }

  /// A request was sent to a sidecar, and its answer ended.
  void onSent(const core::InstanceId &name);
  void onEnded(const core::InstanceId &name, const rpc::RunResult &result,
               core::Millis sentAt);

private:
  struct Peer {
    std::unique_ptr<rpc::PeerClient> Client;
    rpc::PeerStatus Last;
    core::Millis HeardAt;
    unsigned SentSince = 0; ///< sent since the last status
  };

  void apply(const membership::DirectoryActions &actions);
  void connect(const backing::InstanceRecord &record);
  void probe(const core::InstanceId &name);
  void hear(const core::InstanceId &name, const rpc::PeerStatus &status,
            core::Millis sentAfter);
  void fail(const core::InstanceId &name);
  void tick();

  rpc::EventLoop &Loop;
  const core::Clock &Time;
  observe::EventLog &Events;
  const FleetSettings Settings;
  membership::Directory Members;
  std::map<core::InstanceId, Peer> Peers;
  OwnStatusSource OwnStatus;
  StatusListener Listener;
  std::function<void(const core::InstanceId &)> SuspectListener;
};

/// The runner beside a sidecar goes by the sidecar's name.
core::RunnerId toRunner(const core::InstanceId &name);
core::InstanceId toInstance(const core::RunnerId &runner);

} // namespace cowslipridge::entry
