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

/// How one process learns of new configurations.
struct FollowerSettings {
  /// Processes of the fleet that watch the store; the others learn from them.
  unsigned TargetWatchers = 32;
  core::Millis WatchWait{1'000}; ///< length of one long poll
  /// Without confirmation for between half and all of this time, any process
  /// reads the store itself; the first ones confirm it for the others.
  core::Millis ReadAfter{3'000};
  /// Without confirmation for this long, the configuration counts as stale.
  core::Millis StaleAfter{10'000};
  core::Millis PullTimeout{2'000};
  core::Millis MinRetry{200}; ///< after a failed read; doubles up to MaxRetry
  core::Millis MaxRetry{5'000};

  // Only tests that show what a mechanism is for switch it off.
  bool RefusesOlder = true;    ///< keeps a higher generation
  bool PullsFromPeers = true;  ///< takes a newer bundle from a peer
  bool ReadsWhenSilent = true; ///< reads the store after ReadAfter
  bool ChecksContents = true;  ///< compares each content with its hash
  bool DatesAnswers = true;    ///< a late answer confirms only its own time
};

/// The age of a configuration that nobody has confirmed.
inline constexpr core::Millis UnknownAge{
    std::numeric_limits<std::int32_t>::max()};

/// What a peer says of its configuration; rides on every message.
struct PeerConfiguration {
  core::Generation Number;
  /// How long before that message the store last confirmed it, to the peer or
  /// through others.
  core::Millis Age;
  /// Monotonic time before which the message was not sent: the start of the
  /// exchange for a reply, else its arrival.
  core::Millis EarliestSentAt;
};

/// Read the manifest; waits for a change when `Wait` is above 0.
struct ReadManifest {
  std::uint64_t Index = 0;
  core::Millis Wait;
};
/// Read one immutable content.
struct ReadContent {
  std::string Hash;
};
/// Ask a peer for its whole bundle.
struct PullBundle {
  core::InstanceId Peer;
};
/// A newer configuration takes effect.
struct PutInForce {
  std::shared_ptr<const Bundle> Value;
};
/// Neither the store nor a peer has confirmed the configuration for too long.
struct ReportStale {
  core::Millis Age;
};
/// It is confirmed again.
struct ReportConfirmed {};
/// Something that was read makes no sense.
struct ReportUnreadable {
  std::string Detail;
};

using FollowerAction =
    std::variant<ReadManifest, ReadContent, PullBundle, PutInForce, ReportStale,
                 ReportConfirmed, ReportUnreadable>;
using FollowerActions = std::vector<FollowerAction>;

/// Decides when to read the store or a peer, and which configuration is in
/// force. Holds no sockets, threads or clock: the caller passes in what
/// happened and the monotonic time, and carries out the actions.
class FollowerStateMachine {
public:
  /// `self` decides, with the fleet's size, whether this process watches.
  FollowerStateMachine(FollowerSettings settings, const core::InstanceId &self);

  /// Call it at least every 250 ms.
  FollowerActions tick(core::Millis now);
  /// The answer to ReadManifest: the manifest's text, or nothing when absent.
  FollowerActions
  onManifest(const core::Result<std::optional<std::string>> &text,
             std::uint64_t index, core::Millis now);
  /// The answer to ReadContent.
  FollowerActions
  onContent(const std::string &hash,
            const core::Result<std::optional<std::string>> &text,
            core::Millis now);
  /// A message from a peer arrived.
  FollowerActions onPeerReport(const core::InstanceId &peer,
                               const PeerConfiguration &its, core::Millis now);
  /// The answer to PullBundle: the bundle's text.
  FollowerActions onBundle(const core::InstanceId &peer,
                           const core::Result<std::string> &text,
                           core::Millis now);
  /// Processes in the fleet, as the instance list has it.
  void setFleetSize(std::size_t size) { FleetSize = size; }

  /// Null until a first configuration is in force.
  [[nodiscard]] const std::shared_ptr<const Bundle> &inForce() const {
    return Current;
  }
  [[nodiscard]] core::Generation generation() const;
  /// How long ago the configuration in force was known to be the newest.
  [[nodiscard]] core::Millis age(core::Millis now) const;
  [[nodiscard]] bool stale(core::Millis now) const;
  [[nodiscard]] bool watches() const;

private:
  struct Read {
    core::Millis IssuedAt;
    core::Millis Wait;
    std::uint64_t Index = 0;
    core::Millis AnsweredAfter; ///< earliest time of the store's answer
  };
  struct Pull {
    core::InstanceId Peer;
    core::Millis IssuedAt;
  };
  /// A manifest whose contents are being read.
  struct Assembly {
    Manifest Target;
    core::Millis ConfirmedAt;
    std::set<std::string> Missing;
  };

  void startRead(core::Millis wait, core::Millis now, FollowerActions &out);
  void continueReading(core::Millis now, FollowerActions &out);
  [[nodiscard]] core::Millis silenceAllowed() const;
  void backOff(core::Millis now);
  void takeManifest(const std::string &text, const Read &read, core::Millis now,
                    FollowerActions &out);
  void takeKnown(core::Generation number, const Read &read, core::Millis now,
                 FollowerActions &out);
  [[nodiscard]] core::Millis
  answeredAfter(const Read &read, std::uint64_t index, core::Millis now) const;
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
