#pragma once

#include "cowslipridge/ledger/ClaimTable.hpp"
#include "cowslipridge/ledger/ClaimDecision.hpp"
#include "cowslipridge/ledger/JournalAppender.hpp"
#include "cowslipridge/ledger/ShardManager.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cowslipridge::ledger {

/// The two clocks, as read when an event happened.
struct Moment {
  core::Millis Monotonic;
  core::Millis Wall;
};

// Events -------------------------------------------------------------------

struct StartAsked {};
struct ClaimAsked {
  Ticket Asker = 0;
  Claim Wanted;
};
struct AttachAsked {
  Ticket Asker = 0;
  IdempotencyKey Key;
};
struct SettleAsked {
  Ticket Asker = 0;
  ClaimOutcome Outcome;
};
struct BillAsked {
  Bill Wanted;
};
struct PinAsked {
  Ticket Asker = 0;
  SessionPin Wanted;
};
struct TakeOverAsked {
  Ticket Asker = 0;
  core::InstanceId Dead;
};
struct CloseAsked {};
struct FleetResized {
  std::size_t Ledgers = 1;
};
struct StoreReplied {
  std::uint64_t Call = 0;
  StoreReply Reply;
};
struct TimePassed {};

using JournalEvent =
    std::variant<StartAsked, ClaimAsked, AttachAsked, SettleAsked, BillAsked,
                 PinAsked, TakeOverAsked, CloseAsked, FleetResized,
                 StoreReplied, TimePassed>;

// Actions ------------------------------------------------------------------

/// Make this call; answer it by a StoreReplied with the same number.
struct CallStore {
  std::uint64_t Call = 0;
  StoreCommand Command;
};
struct AnswerStart {};
struct AnswerClaim {
  Ticket Asker = 0;
  ClaimDecision Decision;
};
struct AnswerAttach {
  Ticket Asker = 0;
  ClaimOutcome Outcome;
};
struct AnswerSettle {
  Ticket Asker = 0;
};
struct AnswerPin {
  Ticket Asker = 0;
  core::Result<SessionPin> Pin;
};
struct AnswerTakeOver {
  Ticket Asker = 0;
  std::error_code Error;
};
struct AnswerClose {};

enum class NoticeKind {
  ClaimCommitted,
  BillWritten,
  JournalSealed,
  JournalTakenOver,
  StoreUnavailable,
  StoreAvailable,
};
/// Something that operators want to see.
struct Notice {
  NoticeKind Kind = NoticeKind::ClaimCommitted;
  core::RequestId Request;
  std::string Detail;
};

using JournalAction =
    std::variant<CallStore, AnswerStart, AnswerClaim, AnswerAttach,
                 AnswerSettle, AnswerPin, AnswerTakeOver, AnswerClose, Notice>;
using JournalActions = std::vector<JournalAction>;

struct MachineSettings {
  core::ServiceId Service;
  core::InstanceId Instance;
  core::Incarnation Start;
  std::string Writer; ///< unique per process
  unsigned Shards = 64;
  core::Millis DedupWindow{600'000};
  core::Millis MaxClaimWait{2'000}; ///< for a claim's commit
  core::Millis PollInterval{2'000};
  std::size_t RollBytes = 4'096;
  PacerSettings Pacer;
};

/// The decisions of one sidecar's ledger: which calls may run, what goes into
/// the journal, which shards are served. Pure: events and times in, actions
/// out.
class JournalMachine {
public:
  explicit JournalMachine(MachineSettings settings);

  JournalActions handle(const JournalEvent &event, Moment now);

  /// When TimePassed should be sent next.
  [[nodiscard]] std::optional<core::Millis> wakeAt() const;
  [[nodiscard]] std::size_t pending() const { return Appender->pending(); }
  [[nodiscard]] std::optional<JournalId> ownerOf(unsigned shard) const;
  [[nodiscard]] std::size_t servedShards() const { return Keeper->served(); }
  [[nodiscard]] const JournalId &journal() const { return Appender->journal(); }

private:
  struct Waiting {
    Ticket Asker = 0;
    IdempotencyKey Key;
    core::Millis Since;
  };

  void openJournal(unsigned epoch);
  void onClaim(const ClaimAsked &event);
  std::optional<ClaimRefused> refusalOf(unsigned shard) const;
  void onAttach(const AttachAsked &event);
  void onSettle(const SettleAsked &event);
  void onPin(const PinAsked &event);
  void onTakeOver(const TakeOverAsked &event);
  void onClose();
  void onStoreReply(const StoreReplied &event);
  void applyAppend(const AppenderResult &result);
  void applyKeeper(const KeeperResult &result);
  void onCommitted(const QueuedRecord &record);
  void onClaimCommitted(const Claim &claim, Ticket waiter);
  void onOutcomeCommitted(const ClaimOutcome &outcome, Ticket waiter);
  void onPinCommitted(const SessionPin &pin);
  void onSealed();
  void reopen();
  void rescue(const QueuedRecord &record);
  void abandonClaims(core::Errc reason, core::Millis before);
  void refuseClaim(const Waiting &claim, core::Errc reason);
  void tellAttached(const ClaimOutcome &outcome);
  void failPins(core::Errc reason);
  void releaseDrained();
  void noteAvailability();
  void expireClaims();
  void pump();
  void emitCall(StoreCommand command, std::uint64_t &expected);
  void emit(JournalAction action) { Out.push_back(std::move(action)); }

  MachineSettings Settings;
  std::unique_ptr<JournalAppender> Appender;
  std::unique_ptr<ShardKeeper> Keeper;
  ClaimBook Book;
  std::vector<Waiting> ClaimWaiters; ///< oldest first
  std::map<IdempotencyKey, std::vector<Ticket>> Attached;
  std::map<IdempotencyKey, std::vector<Ticket>> PinWaiters;
  std::map<core::InstanceId, std::vector<Ticket>> TakeOvers;
  std::uint64_t LastCall = 0;
  std::uint64_t JournalCall = 0; ///< call under way; others are stale
  std::uint64_t KeeperCall = 0;
  std::size_t FleetSize = 1;
  bool Started = false;
  bool StartAnswered = false;
  bool Closing = false;
  bool CloseAnswered = false;
  bool ClosedJournal = false;
  bool StoreWasAnswering = true;
  core::Millis NextExpiry;
  Moment Now;
  JournalActions Out;
};

} // namespace cowslipridge::ledger
