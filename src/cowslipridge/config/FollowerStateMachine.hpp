#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/config/Manifest.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Result.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cowslipridge::config {

/// Intervals and limits by which one process follows the configuration.
struct FollowerSettings {
  /// Approximate number of processes in the fleet that watch the store; the
  /// others receive configurations from them.
  unsigned TargetWatchers = 32;
  core::Millis WatchWait{1'000}; ///< duration of one long poll
  /// A process that has had no confirmation for between half and all of this
  /// time, depending on its rank, reads the store itself. The first readers
  /// confirm the configuration for the others.
  core::Millis ReadAfter{3'000};
  /// A configuration that was not confirmed for this long is stale.
  core::Millis StaleAfter{10'000};
  core::Millis PullTimeout{2'000};
  core::Millis MinRetry{200}; ///< after a failed read; doubles up to MaxRetry
  core::Millis MaxRetry{5'000};

  // Only tests disable these mechanisms, to show which failure each prevents.
  bool RefusesOlder = true;         ///< ignores a lower generation
  bool PullsFromPeers = true;       ///< fetches a newer bundle from a peer
  bool ReadsWhenUnconfirmed = true; ///< reads the store after ReadAfter
  bool ChecksContents = true;       ///< verifies the hash of each content
  /// Dates a confirmation to the earliest time at which the store may have
  /// answered, not to the arrival of the answer.
  bool BackdatesConfirmations = true;
};

/// The age of a configuration that was never confirmed.
inline constexpr core::Millis UnknownAge{
    std::numeric_limits<std::int32_t>::max()};

/// The generation and age that a peer reports with every message.
struct PeerConfiguration {
  core::Generation Number;
  /// Time from the last confirmation by the store, direct or through other
  /// peers, to the sending of the message.
  core::Millis Age;
  /// Local monotonic time before which the message was not sent: the start of
  /// the exchange for a reply, otherwise the arrival of the message.
  core::Millis EarliestSentAt;
};

/// Reads the manifest; waits up to `Wait` for a change when that is above 0.
struct ReadManifest {
  std::uint64_t Index = 0;
  core::Millis Wait;
};
/// Reads one immutable content from the store.
struct ReadContent {
  std::string Hash;
};
/// Fetches the complete bundle of a peer.
struct PullBundle {
  core::InstanceId Peer;
};
/// Puts a newer configuration in force.
struct PutInForce {
  std::shared_ptr<const Bundle> Value;
};
/// Reports that neither the store nor a peer has confirmed the configuration
/// within StaleAfter.
struct ReportStale {
  core::Millis Age;
};
/// Reports that a stale configuration was confirmed again.
struct ReportConfirmed {};
/// Reports that the store or a peer returned invalid or outdated data.
struct ReportUnreadable {
  std::string Detail;
};

using FollowerAction =
    std::variant<ReadManifest, ReadContent, PullBundle, PutInForce, ReportStale,
                 ReportConfirmed, ReportUnreadable>;
using FollowerActions = std::vector<FollowerAction>;

/// Decides when to read the store or a peer, and which configuration is in
/// force. Performs no I/O and has no threads or clock: the caller passes in
/// events with the monotonic time, and performs the returned actions.
class FollowerStateMachine {
public:
  /// The hash of `self` and the fleet's size determine whether this process
  /// watches the store.
  FollowerStateMachine(FollowerSettings settings, const core::InstanceId &self);

  /// Must be called at least every 250 ms.
  FollowerActions tick(core::Millis now);
  /// Handles the result of ReadManifest: the manifest's text, or nothing when
  /// the store has none.
  FollowerActions
  onManifest(const core::Result<std::optional<std::string>> &text,
             std::uint64_t index, core::Millis now);
  /// Handles the result of ReadContent.
  FollowerActions
  onContent(const std::string &hash,
            const core::Result<std::optional<std::string>> &text,
            core::Millis now);
  /// Handles the configuration that a peer reported with a message.
  FollowerActions onPeerReport(const core::InstanceId &peer,
                               const PeerConfiguration &report,
                               core::Millis now);
  /// Handles the result of PullBundle: the bundle's text.
  FollowerActions onBundle(const core::InstanceId &peer,
                           const core::Result<std::string> &text,
                           core::Millis now);
  /// Sets the number of processes in the fleet, from the instance list.
  void setFleetSize(std::size_t size) { FleetSize = size; }

  /// Returns null until a first configuration is in force.
  [[nodiscard]] const std::shared_ptr<const Bundle> &inForce() const {
    return Current;
  }
  [[nodiscard]] core::Generation generation() const;
  /// Returns the time since the configuration in force was last confirmed as
  /// the newest.
  [[nodiscard]] core::Millis age(core::Millis now) const;
  [[nodiscard]] bool stale(core::Millis now) const;
  [[nodiscard]] bool watches() const;

private:
  struct Read {
    core::Millis IssuedAt;
    core::Millis Wait;
    std::uint64_t Index = 0;
    core::Millis EarliestAnswerAt; ///< earliest time at which the store may
                                   ///< have answered
  };
  struct Pull {
    core::InstanceId Peer;
    core::Millis IssuedAt;
  };
  /// A manifest whose missing contents are being read from the store.
  struct Assembly {
    Manifest Target;
    core::Millis ConfirmedAt;
    std::set<std::string> Missing;
  };

  void startRead(core::Millis wait, core::Millis now, FollowerActions &out);
  void continueReading(core::Millis now, FollowerActions &out);
  [[nodiscard]] core::Millis maxUnconfirmedTime() const;
  void backOff(core::Millis now);
  void applyManifest(const std::string &text, const Read &read,
                     core::Millis now, FollowerActions &out);
  void handleKnownGeneration(core::Generation number, const Read &read,
                             core::Millis now, FollowerActions &out);
  [[nodiscard]] core::Millis earliestAnswerAt(const Read &read,
                                              std::uint64_t index,
                                              core::Millis now) const;
  void startAssembly(Manifest target, core::Millis confirmedAt,
                     core::Millis now, FollowerActions &out);
  void finishAssembly(core::Millis now, FollowerActions &out);
  void putInForce(Bundle bundle, core::Millis now, FollowerActions &out);
  void confirm(core::Millis at, core::Millis now, FollowerActions &out);
  void reportUnreadable(std::string detail, FollowerActions &out);

  const FollowerSettings Settings;
  const std::uint64_t Rank; ///< position of this process in [0, 2^32)
  std::size_t FleetSize = 1;
  std::shared_ptr<const Bundle> Current;
  core::Millis InForceSince;
  std::optional<core::Millis> ConfirmedAt;
  std::optional<core::Millis> StartedAt;
  std::map<std::string, ServiceDeclaration> Contents; ///< by content hash
  std::optional<Read> Reading;
  std::optional<Pull> Pulling;
  std::optional<Assembly> Assembling;
  std::uint64_t Index = 0;
  core::Millis NextReadAt;
  core::Millis Retry;
  bool Stale = false;
  std::string LastUnreadable;
};

} // namespace cowslipridge::config
