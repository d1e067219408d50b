#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/ledger/AdoptionReader.hpp"
#include "cowslipridge/ledger/ClaimTable.hpp"
#include "cowslipridge/ledger/JournalHead.hpp"
#include "cowslipridge/ledger/ShardTable.hpp"
#include "cowslipridge/ledger/StoreCommand.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <system_error>
#include <vector>

namespace cowslipridge::ledger {

struct ShardManagerSettings {
  core::ServiceId Service;
  JournalId Journal;
  unsigned Shards = 64;
  core::Millis PollInterval{2'000}; ///< between two reads of the shard table
  /// How long shards may have no owner before a sidecar claims more than its
  /// fair share.
  core::Millis OwnerlessTimeout{6'000};
};

/// The effect of one store reply on the shards.
struct ShardManagerResult {
  /// Records that adopt shards, to be appended to the own journal.
  std::vector<JournalRecord> AdoptionRecords;
  /// Take-overs that completed or failed.
  struct FinishedTakeOver {
    core::InstanceId Instance;
    std::error_code Error;
  };
  std::vector<FinishedTakeOver> TakeOvers;
  std::vector<JournalId> FoundSealed; ///< journals newly found to be sealed
  /// The table no longer lists the own journal, which must therefore be sealed.
  bool Evicted = false;
};

/// Manages the shards of one journal: joins the members of the shard table,
/// claims shards without an owner, adopts the records of earlier owners,
/// releases shards above its share, and seals the journals of instances that
/// are suspected to have failed.
///
/// Each change of the table is computed from the newest read and written by
/// compare-and-swap, so that a failed or repeated write is harmless.
class ShardManager {
public:
  explicit ShardManager(ShardManagerSettings settings);

  /// Starts reading the table; the own journal must be open.
  void start(core::Millis now);
  void takeOver(const core::InstanceId &instance, core::Millis now);
  /// Handles the seal of the own journal on shutdown: its shards are released.
  void onOwnJournalSealed(core::Millis now);
  /// Handles the commit of an adoption record: the shard may be served.
  void onAdopted(unsigned shard);
  /// Handles the commit of a release record: the table is to be updated.
  void onReleased(unsigned shard, core::Millis now);
  /// Returns the shards that accept no more claims and are to be released.
  [[nodiscard]] std::vector<unsigned> draining() const;
  /// Marks a draining shard whose release record was queued.
  void beginRelease(unsigned shard);

  std::optional<StoreCommand> next(core::Millis now);
  ShardManagerResult onReply(const StoreReply &reply, core::Millis now,
                             core::Millis claimsAfter);
  [[nodiscard]] std::optional<core::Millis> wakeAt() const;

  /// Returns whether this sidecar may decide the shard's claims.
  [[nodiscard]] bool serves(unsigned shard) const;
  /// Returns the owner as last read; nothing if there is none.
  [[nodiscard]] std::optional<JournalId> ownerOf(unsigned shard) const;
  [[nodiscard]] const std::optional<ShardTable> &table() const { return Table; }
  /// Returns whether the journal is closing and the table no longer lists it.
  [[nodiscard]] bool isDeregistered() const;
  [[nodiscard]] std::size_t served() const;

private:
  enum class Phase {
    Idle,
    ReadTable,
    SwapTable,
    ReadTarget,
    SealTarget,
    Adopt
  };
  enum class ShardState {
    Foreign,   ///< owned by another journal, or by none
    Adopting,  ///< owned; reading earlier owners' records
    Recording, ///< owned; the adoption is not yet committed
    Served,
    Draining,  ///< accepts no claims; released when its claims complete
    Releasing, ///< the release is not yet committed
    Released,  ///< released in the journal, not yet in the table
  };
  ShardTable wantedTable() const;
  bool needsSwap() const;
  void chooseStep(core::Millis now);
  StoreCommand commandOfStep() const;
  void onTable(const ReadReply &reply, ShardManagerResult &result,
               core::Millis now, core::Millis claimsAfter);
  void updateOwnerlessTimeout(core::Millis now);
  void syncStates();
  void drainExcess();
  std::set<JournalId> listedJournals() const;
  void queueSealTargets();
  void endTakeOvers(ShardManagerResult &result);
  void onSealTargetRead(const ReadReply &reply, ShardManagerResult &result,
                        core::Millis now);
  void onSwapped(backing::SwapStatus status, Phase ended, core::Millis now);
  void startAdoption(ShardManagerResult &result, core::Millis claimsAfter);
  void onAdoptionRead(const ReadReply &reply, ShardManagerResult &result,
                      core::Millis now, core::Millis claimsAfter);
  void finishAdoption(ShardManagerResult &result, core::Millis claimsAfter);
  void retryLater(core::Millis now);

  ShardManagerSettings Settings;
  std::optional<ShardTable> Table;
  backing::Revision TableRevision = 0;
  std::vector<ShardState> States;
  std::set<JournalId> KnownSealed;
  /// Instances to take over, each with the journals that the table listed for
  /// it at the first read after the request. A journal that is opened later
  /// belongs to a live process and must not be sealed.
  std::map<core::InstanceId, std::optional<std::set<JournalId>>>
      TakeOverTargets;
  std::deque<JournalId> SealTargets; ///< journals to seal
  std::optional<JournalHead> SealTargetHead;
  backing::Revision SealTargetRevision = 0;
  std::optional<AdoptionReader> Adopting;
  std::optional<core::Millis> OwnerlessSince;
  bool OwnerlessTimedOut = false;
  unsigned Mismatches = 0; ///< consecutive
  Phase Step = Phase::Idle;
  bool Started = false;
  bool Joined = false;  ///< the table lists the own journal
  bool Evicted = false; ///< the table lists it no longer; all work stops
  bool Closing = false;
  bool CallInFlight = false;
  core::Millis NextPoll;
  core::Millis NotBefore;
  mutable std::optional<bool> NeedsSwap; ///< cached until the next change
};

} // namespace cowslipridge::ledger
