#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/ledger/CommitPacer.hpp"
#include "cowslipridge/ledger/JournalHead.hpp"
#include "cowslipridge/ledger/JournalId.hpp"
#include "cowslipridge/ledger/StoreCommand.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::ledger {

struct AppenderSettings {
  core::ServiceId Service;
  JournalId Journal;
  std::string Writer; ///< unique per process; part of each append's id
  std::size_t RollBytes = 4'096;       ///< head size that starts a segment
  std::size_t MaxBatchBytes = 262'144; ///< records of one commit
  PacerSettings Pacer;
};

/// Names a caller that waits for a decision; 0: nobody waits.
using Ticket = std::uint64_t;

struct QueuedRecord {
  JournalRecord Record;
  Ticket Waiter = 0;
};

/// What one store reply meant for the journal.
struct AppenderResult {
  bool Opened = false;
  bool Sealed = false;      ///< nothing more can be appended
  bool StoreFailed = false; ///< the store did not answer
  std::vector<QueuedRecord> Committed;
};

/// Appends records to one journal by compare-and-swap, in group commits. Each
/// append carries an id and is sent again unchanged until a read shows whether
/// it took effect, so that a lost reply or a late write does no harm.
class JournalAppender {
public:
  explicit JournalAppender(AppenderSettings settings);

  /// Queues a record; committed before all records queued later, or with them.
  /// Claims and pins that somebody waits for are committed first of all.
  void append(QueuedRecord record, core::Millis now);
  /// Drops a queued record that was not sent yet; false when it was sent.
  bool dropQueued(Ticket waiter);
  /// Seals the journal itself once everything queued is committed.
  void requestSeal() { SealWanted = true; }
  /// Appends even when nothing is queued, to learn whether the journal was
  /// sealed.
  void verify() { VerifyWanted = true; }
  void setFleetSize(std::size_t ledgers) { Pacer.setFleetSize(ledgers); }

  /// The next store call, unless one is under way or none is due.
  std::optional<StoreCommand> next(core::Millis now);
  AppenderResult onReply(const StoreReply &reply, core::Millis now);

  /// When next() should be asked again, unless a call is under way.
  [[nodiscard]] std::optional<core::Millis> wakeAt() const;
  [[nodiscard]] bool opened() const { return IsOpen; }
  [[nodiscard]] bool sealed() const { return IsSealed; }
  [[nodiscard]] bool isStoreAvailable() const { return StoreAvailable; }
  [[nodiscard]] std::size_t pending() const;
  [[nodiscard]] const JournalId &journal() const { return Settings.Journal; }
  /// Records that a sealed journal never took, oldest first.
  std::vector<QueuedRecord> takeUncommitted();

private:
  enum class Phase { Idle, Swap, Read, Roll };
  struct Batch {
    JournalHead Head;
    std::string Value;
    std::size_t Bytes = 0;
    std::vector<QueuedRecord> Records;
    bool Committed = false;
  };

  void startBatch();
  bool isBatchDue(core::Millis now) const;
  std::optional<core::Millis> batchAt() const;
  std::optional<StoreCommand> commandOfPhase();
  void commitBatch(AppenderResult &result);
  void onSwap(backing::SwapStatus status, AppenderResult &result,
              core::Millis now);
  void onRolled(backing::SwapStatus status, AppenderResult &result,
                core::Millis now);
  void onRead(const ReadReply &reply, AppenderResult &result, core::Millis now);
  void onHead(const JournalHead &head, backing::Revision revision,
              AppenderResult &result, core::Millis now);
  void onForeignHead(const JournalHead &head, backing::Revision revision,
                     AppenderResult &result, core::Millis now);
  void seal(AppenderResult &result);
  void backOff(core::Millis now);
  void storeFailed(AppenderResult &result, core::Millis now);
  std::string newAppendId();

  AppenderSettings Settings;
  CommitPacer Pacer;
  std::vector<QueuedRecord> Queue;
  std::size_t QueueBytes = 0;
  CommitNeed QueueNeed = CommitNeed::Later;
  core::Millis OldestQueued;
  std::optional<Batch> Pending;
  std::vector<JournalRecord> HeadRecords; ///< committed and not yet rolled
  std::size_t HeadBytes = 0;
  unsigned Segments = 0;
  std::string LastAppend;
  std::uint64_t AppendCount = 0;
  backing::Revision HeadRevision = 0;
  Phase Step = Phase::Idle;
  bool CallInFlight = false;
  bool IsOpen = false;
  bool IsSealed = false;
  bool SealWanted = false;
  bool VerifyWanted = false;
  bool StoreAvailable = true;
  core::Millis NotBefore;
  core::Millis RetryDelay;
};

} // namespace cowslipridge::ledger
