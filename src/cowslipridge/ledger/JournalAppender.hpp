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
  std::size_t RollBytes = 4'096; ///< head size at which a segment is written
  std::size_t MaxBatchBytes = 262'144; ///< limit on the records of one commit
  PacerSettings Pacer;
};

/// Identifies a caller that waits for a reply; 0: no caller waits.
using Ticket = std::uint64_t;

struct QueuedRecord {
  JournalRecord Record;
  Ticket Waiter = 0;
};

/// The effect of one store reply on the journal.
struct AppenderResult {
  bool Opened = false;
  bool Sealed = false;      ///< no further append can succeed
  bool StoreFailed = false; ///< the store was unavailable
  std::vector<QueuedRecord> Committed;
};

/// Appends records to one journal by compare-and-swap, in group commits. Each
/// append carries an id and is retried unchanged until a read shows whether it
/// took effect, so that a lost reply or a late write is harmless.
class JournalAppender {
public:
  explicit JournalAppender(AppenderSettings settings);

  /// Queues a record; it is committed before all records queued later, or with
  /// them. A claim or pin for which a caller waits makes the next commit start
  /// earlier.
  void append(QueuedRecord record, core::Millis now);
  /// Drops the queued record of `waiter`. Returns false if the record is
  /// already part of a commit.
  bool dropQueued(Ticket waiter);
  /// Seals the own journal once all queued records are committed.
  void requestSeal() { SealWanted = true; }
  /// Requests an append even if the queue is empty, to detect whether the
  /// journal was sealed.
  void verify() { VerifyWanted = true; }
  void setFleetSize(std::size_t ledgers) { Pacer.setFleetSize(ledgers); }

  /// Returns the next store call, unless one is in flight or none is due.
  std::optional<StoreCommand> next(core::Millis now);
  AppenderResult onReply(const StoreReply &reply, core::Millis now);

  /// Returns when next() should be called again; nothing while a call is in
  /// flight, while no commit is needed, or once the journal is sealed.
  [[nodiscard]] std::optional<core::Millis> wakeAt() const;
  [[nodiscard]] bool opened() const { return IsOpen; }
  [[nodiscard]] bool sealed() const { return IsSealed; }
  [[nodiscard]] bool isStoreAvailable() const { return StoreAvailable; }
  [[nodiscard]] std::size_t pending() const;
  [[nodiscard]] const JournalId &journal() const { return Settings.Journal; }
  /// Removes and returns the records that were not committed before the journal
  /// was sealed, oldest first.
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
  CommitUrgency QueueUrgency = CommitUrgency::Later;
  core::Millis OldestQueued;
  std::optional<Batch> Pending;
  std::vector<JournalRecord> HeadRecords; ///< committed, not yet in a segment
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
