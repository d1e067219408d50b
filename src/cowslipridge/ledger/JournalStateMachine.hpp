#pragma once

#include "cowslipridge/ledger/ClaimDecision.hpp"
#include "cowslipridge/ledger/ClaimTable.hpp"
#include "cowslipridge/ledger/JournalAppender.hpp"
#include "cowslipridge/ledger/ShardManager.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cowslipridge::ledger {

/// The times of the monotonic and the wall clock at an event.
struct ClockReadings {
  core::Millis Monotonic;
  core::Millis Wall;
};

// Events -------------------------------------------------------------------

struct StartRequested {};
struct ClaimRequested {
  Ticket Requester = 0;
  Claim Wanted;
};
struct AttachRequested {
  Ticket Requester = 0;
  IdempotencyKey Key;
};
struct RecordOutcomeRequested {
  Ticket Requester = 0;
  ClaimOutcome Outcome;
};
struct BillRequested {
  Bill Wanted;
};
struct PinRequested {
  Ticket Requester = 0;
  SessionPin Wanted;
};
struct TakeOverRequested {
  Ticket Requester = 0;
  core::InstanceId FailedInstance;
};
struct CloseRequested {};
struct FleetResized {
  std::size_t Ledgers = 1;
};
struct StoreReplied {
  std::uint64_t Call = 0;
  StoreReply Reply;
};
struct TimePassed {};

using JournalEvent =
    std::variant<StartRequested, ClaimRequested, AttachRequested,
                 RecordOutcomeRequested, BillRequested, PinRequested,
                 TakeOverRequested, CloseRequested, FleetResized, StoreReplied,
                 TimePassed>;

// Actions ------------------------------------------------------------------

/// Requests a call to the store. The reply is passed as a StoreReplied with the
/// same number.
struct CallStore {
  std::uint64_t Call = 0;
  StoreCommand Command;
};
struct AnswerStart {};
struct AnswerClaim {
  Ticket Requester = 0;
  ClaimDecision Decision;
};
struct AnswerAttach {
  Ticket Requester = 0;
  ClaimOutcome Outcome;
};
struct AnswerRecordOutcome {
  Ticket Requester = 0;
};
struct AnswerPin {
  Ticket Requester = 0;
  core::Result<SessionPin> Pin;
};
struct AnswerTakeOver {
  Ticket Requester = 0;
  std::error_code Error;
};
struct AnswerClose {};

enum class NotificationKind {
  ClaimCommitted,
  BillWritten,
  JournalSealed,
  JournalTakenOver,
  StoreUnavailable,
  StoreAvailable,
};
/// An event for the log and metrics.
struct JournalNotification {
  NotificationKind Kind = NotificationKind::ClaimCommitted;
  core::RequestId Request;
  std::string Detail;
};

using JournalAction =
    std::variant<CallStore, AnswerStart, AnswerClaim, AnswerAttach,
                 AnswerRecordOutcome, AnswerPin, AnswerTakeOver, AnswerClose,
                 JournalNotification>;
using JournalActions = std::vector<JournalAction>;

struct JournalSettings {
  core::ServiceId Service;
  core::InstanceId Instance;
  core::Incarnation Start;
  std::string Writer; ///< unique per process
  unsigned Shards = 64;
  core::Millis DedupWindow{600'000};
  core::Millis MaxClaimWait{2'000}; ///< for its commit
  core::Millis PollInterval{2'000};
  std::size_t RollBytes = 4'096;
  PacerSettings Pacer;
};

/// Decides which calls may run, which records are written to the journal and
/// which shards are served by one sidecar. Does no I/O and reads no clock:
/// events and times are passed in, actions are returned.
class JournalStateMachine {
public:
  explicit JournalStateMachine(JournalSettings settings);

  JournalActions handle(const JournalEvent &event, ClockReadings now);

  /// Returns when the next TimePassed event is due.
  [[nodiscard]] std::optional<core::Millis> wakeAt() const;
  [[nodiscard]] std::size_t pending() const { return Appender->pending(); }
  [[nodiscard]] std::optional<JournalId> ownerOf(unsigned shard) const;
  [[nodiscard]] std::size_t servedShards() const { return Manager->served(); }
  [[nodiscard]] const JournalId &journal() const { return Appender->journal(); }

private:
  struct WaitingClaim {
    Ticket Requester = 0;
    IdempotencyKey Key;
    core::Millis Since;
  };

  void openJournal(unsigned epoch);
  void onClaim(const ClaimRequested &event);
  std::optional<ClaimRefused> refusalOf(unsigned shard) const;
  void onAttach(const AttachRequested &event);
  void onRecordOutcome(const RecordOutcomeRequested &event);
  void onPin(const PinRequested &event);
  void onTakeOver(const TakeOverRequested &event);
  void onClose();
  void onStoreReply(const StoreReplied &event);
  void applyAppend(const AppenderResult &result);
  void applyShardResult(const ShardManagerResult &result);
  void onCommitted(const QueuedRecord &record);
  void onClaimCommitted(const Claim &claim, Ticket waiter);
  void onOutcomeCommitted(const ClaimOutcome &outcome, Ticket waiter);
  void onPinCommitted(const SessionPin &pin);
  void onSealed();
  void reopen();
  void requeue(const QueuedRecord &record);
  void refuseWaitingClaims(core::Errc reason, core::Millis before);
  void refuseClaim(const WaitingClaim &claim, core::Errc reason);
  void notifyAttached(const ClaimOutcome &outcome);
  void failPins(core::Errc reason);
  void releaseDrained();
  void reportAvailability();
  void expireClaims();
  void advance();
  void emitCall(StoreCommand command, std::uint64_t &expected);
  void emit(JournalAction action) { Out.push_back(std::move(action)); }

  JournalSettings Settings;
  std::unique_ptr<JournalAppender> Appender;
  std::unique_ptr<ShardManager> Manager;
  ClaimTable ClaimsAndPins;
  std::vector<WaitingClaim> ClaimWaiters; ///< oldest first
  std::map<IdempotencyKey, std::vector<Ticket>> Attached;
  std::map<IdempotencyKey, std::vector<Ticket>> PinWaiters;
  std::map<core::InstanceId, std::vector<Ticket>> TakeOvers;
  std::uint64_t LastCall = 0;
  std::uint64_t AppendCall = 0; ///< call in flight; other replies are stale
  std::uint64_t ShardCall = 0;
  std::size_t FleetSize = 1;
  bool Started = false;
  bool StartAnswered = false;
  bool Closing = false;
  bool CloseAnswered = false;
  bool ClosedJournal = false;
  bool StoreWasAvailable = true;
  core::Millis NextExpiry;
  ClockReadings Now;
  JournalActions Out;
};

} // namespace cowslipridge::ledger
