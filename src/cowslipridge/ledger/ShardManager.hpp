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
  core::Millis PollInterval{2'000}; ///< between reads of the shard table
  /// How long a shard must stay ownerless before a sidecar takes more than its
  /// fair share.
  core::Millis OwnerlessTimeout{6'000};
};

/// What one store reply meant for the shards.
struct ShardManagerResult {
  /// Records that adopt shards; to be appended to the own journal.
  std::vector<JournalRecord> AdoptionRecords;
  /// Take-overs that ended.
  struct FinishedTakeOver {
    core::InstanceId Instance;
    std::error_code Error;
  };
  std::vector<FinishedTakeOver> TakeOvers;
  std::vector<JournalId> FoundSealed; ///< journals that were found sealed
  /// The table has dropped the own journal: it must have been sealed.
  bool Evicted = false;
};

/// Keeps this journal's part of the shards: joins the members, takes ownerless
/// shards, adopts what earlier owners recorded, gives up shards above its
/// share, and seals journals of instances that are suspected dead.
///
/// Whatever it does to the table is computed afresh from the newest read and
/// written by compare-and-swap, so that a failed or repeated write is harmless.
class ShardManager {
public:
  explicit ShardManager(ShardManagerSettings settings);

  /// Starts with a journal that is open.
  void start(core::Millis now);
  void takeOver(const core::InstanceId &instance, core::Millis now);
  /// The own journal was sealed: its shards are to be given up.
  void onOwnJournalSealed(core::Millis now);
  /// An adoption record is committed: the shard may be served.
  void onAdopted(unsigned shard);
  /// A release record is committed: the table is to be changed.
  void onReleased(unsigned shard, core::Millis now);
  /// Shards that take no claims any more and wait for their release.
  [[nodiscard]] std::vector<unsigned> draining() const;
  /// The release record of a draining shard is queued.
  void beginRelease(unsigned shard);

  std::optional<StoreCommand> next(core::Millis now);
  ShardManagerResult onReply(const StoreReply &reply, core::Millis now,
                             core::Millis claimsAfter);
  [[nodiscard]] std::optional<core::Millis> wakeAt() const;

  /// Whether the shard's claims may be decided here.
  [[nodiscard]] bool serves(unsigned shard) const;
  /// Owner as last read; nothing when nobody is known.
  [[nodiscard]] std::optional<JournalId> ownerOf(unsigned shard) const;
  [[nodiscard]] const std::optional<ShardTable> &table() const { return Table; }
  /// True when the table no longer names the own journal.
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
    Foreign,   ///< another journal's, or nobody's
    Adopting,  ///< ours; earlier owners' records are being read
    Recording, ///< ours; the adoption is on its way into the journal
    Served,
    Draining,  ///< takes no claims; to be released when its own are settled
    Releasing, ///< the release is on its way into the journal
    Released,  ///< released in the journal; the table does not say so yet
  };
  ShardTable wantedTable() const;
  bool wantsSwap() const;
  void chooseStep(core::Millis now);
  StoreCommand commandOfStep() const;
  void onTable(const ReadReply &reply, ShardManagerResult &result,
               core::Millis now, core::Millis claimsAfter);
  void updateOwnerlessTimeout(core::Millis now);
  void syncStates();
  void drainExcess();
  std::set<JournalId> namedJournals() const;
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
  /// Instances to take over, each with the journals that the first read of the
  /// table named; a journal that is opened later belongs to a live process.
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
  bool Joined = false;  ///< the table has named the own journal
  bool Evicted = false; ///< and does so no more; nothing is done any more
  bool Closing = false;
  bool CallInFlight = false;
  core::Millis NextPoll;
  core::Millis NotBefore;
  mutable std::optional<bool> WantsSwap; ///< until the next change
};

} // namespace cowslipridge::ledger
