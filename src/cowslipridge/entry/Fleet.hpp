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

/// Returns this entry's status for one peer.
using OwnStatusSource =
    std::function<rpc::PeerStatus(const core::InstanceId &peer)>;

/// Receives each status of a sidecar. The sidecar sent it after `sentAfter`.
using StatusListener =
    std::function<void(const rpc::PeerStatus &status, core::Millis sentAfter)>;

/// The known sidecars, with the connection to and the last status of each. Used
/// only on the loop's thread.
class Fleet final : public std::enable_shared_from_this<Fleet> {
public:
  Fleet(rpc::EventLoop &loop, const core::Clock &time,
        observe::EventLog &events, FleetSettings settings);
  ~Fleet();

  /// Sets the source of this entry's status, which goes with each message.
  void setOwnStatus(OwnStatusSource ownStatus);
  [[nodiscard]] rpc::PeerStatus
  ownStatusFor(const core::InstanceId &peer) const;
  /// Sets the listener for each status that a sidecar sends.
  void setStatusListener(StatusListener listener);
  /// Sets the listener for sidecars that are suspected to have failed or
  /// stalled.
  void
  setSuspectListener(std::function<void(const core::InstanceId &)> listener);
  void startTicking();
  /// Closes all connections and ends the ticks. The status source and the
  /// listeners are not called any more, and later lists are ignored.
  void close();

  /// Updates the members from a list of instances.
  void applyInstanceList(const std::vector<backing::InstanceRecord> &records);
  /// Returns the connected runners that may receive requests of `service`.
  [[nodiscard]] std::vector<route::RunnerView>
  views(const core::ServiceId &service) const;
  /// Returns the connection to a sidecar, or null if the sidecar is unknown.
  [[nodiscard]] rpc::PeerClient *client(const core::InstanceId &name);
  [[nodiscard]] const membership::Directory &directory() const {
    return Members;
  }

  /// Records that a request was sent to a sidecar.
  void onSent(const core::InstanceId &name);
  /// Records that the answer to a request that was sent at `sentAt` ended.
  void onEnded(const core::InstanceId &name, const rpc::RunResult &result,
               core::Millis sentAt);

private:
  struct Peer {
    std::unique_ptr<rpc::PeerClient> Client;
    rpc::PeerStatus LastStatus;
    core::Millis ReportReceivedAt;
    unsigned SentSinceReport = 0; ///< requests sent since LastStatus
  };

  void apply(const membership::DirectoryActions &actions);
  void connect(const backing::InstanceRecord &record);
  void probe(const core::InstanceId &name);
  void onStatusReceived(const core::InstanceId &name,
                        const rpc::PeerStatus &status, core::Millis sentAfter);
  void onFailure(const core::InstanceId &name);
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
  bool Closed = false;
};

/// A runner has the same name as its sidecar.
core::RunnerId toRunner(const core::InstanceId &name);
core::InstanceId toInstance(const core::RunnerId &runner);

} // namespace cowslipridge::entry
